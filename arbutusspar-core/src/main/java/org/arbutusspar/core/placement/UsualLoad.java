package org.arbutusspar.core.placement;

import org.arbutusspar.core.Nanos;

/**
 * Tells the requests of one kind that are within its usual load from those of a burst. Requests are
 * within the usual load as long as they come no faster than a little above the mean rate of the
 * recent past.
 *
 * <p>Load pattern: many requests of one kind at once, while those of other kinds that use the same
 * replicas come as before. Only what exceeds the usual load is to be rejected for it.
 *
 * <p>Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class UsualLoad {

  /** Time over which the usual rate is averaged, in seconds. */
  private static final double AVERAGING_SECONDS = 30;

  /** Time for which the first requests count at least, in seconds. */
  private static final double MIN_AGE_SECONDS = 1;

  /** Time in seconds from the first request for which all are within the usual load. */
  private static final double LEARNING_SECONDS = 5;

  /** Rate that counts as usual, as a multiple of the average. */
  private static final double HEADROOM = 1.25;

  /** Weight of a request of a burst in the usual rate, so that a burst becomes usual slowly. */
  private static final double BURST_WEIGHT = 0.1;

  /** Number of requests that may come at the same moment, as is usual with few requests. */
  private static final double MIN_ALLOWANCE = 3;

  /** Time whose usual requests may come at the same moment in addition, in seconds. */
  private static final double ALLOWANCE_SECONDS = 1;

  private static final double MILLIS_PER_SECOND = 1_000;

  private double weightedCount;
  private double allowance = MIN_ALLOWANCE;
  private double ageSeconds;
  private long lastAt;
  private boolean started;

  private UsualLoad() {}

  /** Returns the load of a kind of which no request has arrived. */
  public static UsualLoad create() {
    return new UsualLoad();
  }

  /**
   * Records a request.
   *
   * @param now current time
   * @return whether it is within the usual load
   */
  public boolean onRequest(long now) {
    advance(now);
    boolean within = allowance >= 1 || ageSeconds < LEARNING_SECONDS;
    allowance = Math.max(0, allowance - (within ? 1 : 0));
    weightedCount += within ? 1 : BURST_WEIGHT;
    return within;
  }

  private void advance(long now) {
    if (!started) {
      started = true;
      lastAt = now;
    }
    double seconds = Math.max(0, Nanos.toMillis(now - lastAt) / MILLIS_PER_SECOND);
    lastAt = now;
    ageSeconds += seconds;
    weightedCount *= Math.exp(-seconds / AVERAGING_SECONDS);
    double rate = HEADROOM * perSecond();
    allowance = Math.min(MIN_ALLOWANCE + ALLOWANCE_SECONDS * rate, allowance + seconds * rate);
  }

  /** Returns the usual rate in requests a second, as of the last request. */
  public double perSecond() {
    double effectiveSeconds =
        AVERAGING_SECONDS
            * (1 - Math.exp(-Math.max(MIN_AGE_SECONDS, ageSeconds) / AVERAGING_SECONDS));
    return weightedCount / effectiveSeconds;
  }
}
