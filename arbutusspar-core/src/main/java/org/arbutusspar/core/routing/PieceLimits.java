package org.arbutusspar.core.routing;

import org.apache.commons.lang3.Validate;

/**
 * What one replica of a service that works on pieces can do.
 *
 * @param slots calls in progress at the same time
 * @param maxBatchSize most pieces of a call
 * @param callMillis fixed time of a call
 * @param pieceMillis time that each piece adds to a call, approximately
 * @param resultMemoryBytes memory for results
 * @param resultTtlMillis how long a result is kept after the end of its call unless it is released
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
    Validate.isTrue(maxBatchSize > 0, "batch must be positive");
    Validate.isTrue(callMillis >= 0, "callMillis must not be negative");
    Validate.isTrue(pieceMillis >= 0, "pieceMillis must not be negative");
  }

  /**
   * Returns how long a call is expected to take.
   *
   * @param pieces number of its pieces
   * @return the time in milliseconds
   */
  public double millis(int pieces) {
    return callMillis + pieces * pieceMillis;
  }

  /** Returns the most pieces that one replica finishes in a second. */
  public double piecesPerSecond() {
    return slots * maxBatchSize * 1_000.0 / Math.max(1, millis(maxBatchSize));
  }
}
