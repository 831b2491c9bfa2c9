package org.arbutusspar.core.balancing;

import org.apache.commons.lang3.Validate;

/**
 * Limit that follows what the replica delivers: it grows while calls at the limit are not slowed
 * down, and shrinks when the replica refuses calls or holds a queue.
 *
 * <p>Growth is fast until the first sign of congestion, so that an instance that suddenly gets most
 * of a flood can use the replicas; after it, growth is additive.
 */
public final class AdaptiveLimit implements ConcurrencyLimit {

  private static final double MAX_SLOWNESS_TO_GROW = 1.5;
  private static final double OVERLOAD_DECREASE_FACTOR = 0.7;
  private static final double QUEUE_DECREASE_FACTOR = 0.95;

  private final int max;
  private double limit;
  private boolean congested;
  private boolean replicaHasQueue;

  private AdaptiveLimit(int initial, int max) {
    this.limit = initial;
    this.max = max;
  }

  /**
   * Returns a limit.
   *
   * @param initial first bound, from 1 to {@code max}
   * @param max largest bound
   * @return the limit
   */
  public static AdaptiveLimit create(int initial, int max) {
    Validate.inclusiveBetween(1, max, initial, "initial limit must be from 1 to the maximum");
    return new AdaptiveLimit(initial, max);
  }

  @Override
  public int current() {
    return Math.max(1, (int) limit);
  }

  @Override
  public void onSuccess(double slowness, int inFlight) {
    boolean atLimit = inFlight >= current();
    if (atLimit && !replicaHasQueue && slowness <= MAX_SLOWNESS_TO_GROW) {
      limit = Math.min(max, limit + (congested ? 1 / limit : 1));
    }
  }

  @Override
  public void onOverload() {
    congested = true;
    limit = Math.max(1, limit * OVERLOAD_DECREASE_FACTOR);
  }

  @Override
  public void onReport(LoadReport report, int inFlight) {
    replicaHasQueue = report.waiting() > 0;
    if (replicaHasQueue && 2 * inFlight >= current()) {
      congested = true;
      limit = Math.max(1, limit * QUEUE_DECREASE_FACTOR);
    }
  }
}
