package org.arbutusspar.core.routing;

import org.apache.commons.lang3.Validate;

/**
 * Capacity and timing of each replica of a service that computes pieces.
 *
 * @param slots maximum number of calls in progress at the same time
 * @param maxBatchSize maximum number of pieces in a call
 * @param callMillis fixed time of a call in milliseconds
 * @param pieceMillis approximate time that each piece adds to a call, in milliseconds
 * @param resultMemoryBytes memory for results in bytes
 * @param resultTtlMillis time to live of a result after the end of its call unless it is released,
 *     in milliseconds
 */
public record PieceLimits(
    int slots,
    int maxBatchSize,
    double callMillis,
    double pieceMillis,
    long resultMemoryBytes,
    long resultTtlMillis) {

  /** Checks the components. */
  public PieceLimits {
    Validate.isTrue(slots > 0, "slots must be positive");
    Validate.isTrue(maxBatchSize > 0, "maxBatchSize must be positive");
    Validate.isTrue(callMillis >= 0, "callMillis must not be negative");
    Validate.isTrue(pieceMillis >= 0, "pieceMillis must not be negative");
  }

  /**
   * Returns the expected time of a call.
   *
   * @param pieces number of pieces in the call
   * @return the time in milliseconds
   */
  public double millis(int pieces) {
    return callMillis + pieces * pieceMillis;
  }

  /** Returns the maximum number of pieces that one replica computes per second. */
  public double piecesPerSecond() {
    return slots * maxBatchSize * 1_000.0 / Math.max(1, millis(maxBatchSize));
  }
}
