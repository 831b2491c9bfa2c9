package org.arbutusspar.core.stage;

import org.arbutusspar.core.Nanos;

/**
 * Detects client retries: requests that a client sends again after a rejection. Clients of one
 * route use about the same timeout, and a client that retries has less of it left, so a request
 * with an unusually short client timeout is taken for a retry.
 *
 * <p>Load pattern: a burst whose rejected requests are sent again while new requests arrive. Client
 * retries have less time left than new requests, so admission treats them separately.
 */
public final class ClientRetryDetector {

  /** A request counts as a client retry below this share of the route's usual client timeout. */
  private static final double CLIENT_RETRY_SHARE = 0.8;

  /**
   * Length of a measuring period. The usual client timeout is the longest one seen in the current
   * and the previous period.
   */
  private static final long PERIOD_NANOS = Nanos.ofMillis(10_000);

  private long periodStart;
  private boolean started;
  private long longestInPreviousPeriod;
  private long longestInPeriod;

  private ClientRetryDetector() {}

  /** Returns a detector that has seen no requests. */
  public static ClientRetryDetector create() {
    return new ClientRetryDetector();
  }

  /**
   * Records a request and returns whether it is probably a client retry.
   *
   * @param clientTimeoutMillis time for which the client still waits, in milliseconds
   * @param now current monotonic time, in nanoseconds
   * @return true if an earlier request of the client has probably been rejected
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
