package org.arbutusspar.core.balancing;

import org.apache.commons.lang3.Validate;

/**
 * Concurrency limit that adapts to the capacity of the replica. It increases while calls at the
 * limit are not slowed down, and decreases by a factor when the replica rejects, loses or queues
 * calls.
 *
 * <p>Until the first congestion, the limit increases by one with each such call, so that an
 * instance that suddenly receives most of the load can use the replicas quickly. After it, each
 * such call adds the reciprocal of the limit (additive increase).
 */
public final class AdaptiveLimit implements ConcurrencyLimit {

  /** Maximum slowness of a call, relative to its prediction, that lets the limit increase. */
  private static final double MAX_SLOWNESS_TO_GROW = 1.5;

  /** Factor on the limit after a rejected or lost call. */
  private static final double OVERLOAD_DECREASE_FACTOR = 0.7;

  /** Factor on the limit after a report of a queue, if at least half of the limit is in use. */
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
   * Returns a limit with an initial value.
   *
   * @param initial initial number of calls in flight, from 1 to {@code max}
   * @param max maximum number of calls in flight
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
