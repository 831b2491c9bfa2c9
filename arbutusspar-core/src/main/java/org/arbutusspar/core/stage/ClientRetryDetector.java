package org.arbutusspar.core.stage;

import org.arbutusspar.core.Nanos;

/**
 * Tells clients that come back after a refusal from new ones by how long they still wait: clients
 * of a route have about the same patience, and one that came back has less left.
 *
 * <p>Load pattern: a burst whose refused requests return while new ones arrive. Those that came
 * back are late already; they go behind the ones that can be in time, but are not refused again.
 */
public final class ClientRetryDetector {

  /** A client with less than this share of the usual patience has been here before. */
  private static final double CLIENT_RETRY_SHARE = 0.8;

  /** The usual patience is the longest seen within one to two of these. */
  private static final long PERIOD_NANOS = Nanos.ofMillis(10_000);

  private long periodStart;
  private boolean started;
  private long longestInPreviousPeriod;
  private long longestInPeriod;

  private ClientRetryDetector() {}

  /** Returns a watch that has seen nothing. */
  public static ClientRetryDetector create() {
    return new ClientRetryDetector();
  }

  /**
   * Takes a request.
   *
   * @param clientTimeoutMillis how long its client still waits
   * @param now current time
   * @return whether the client has probably been refused before
   */
  public boolean isClientRetry(long clientTimeoutMillis, long now) {
    if (!started || now - periodStart >= PERIOD_NANOS) {
      longestInPreviousPeriod = started ? longestInPeriod : 0;
      longestInPeriod = 0;
      periodStart = now;
      started = true;
    }
    longestInPeriod = Math.max(longestInPeriod, clientTimeoutMillis);
    return clientTimeoutMillis
        < CLIENT_RETRY_SHARE * Math.max(longestInPeriod, longestInPreviousPeriod);
  }
}
