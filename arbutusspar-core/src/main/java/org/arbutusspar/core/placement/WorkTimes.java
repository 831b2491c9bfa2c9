package org.arbutusspar.core.placement;

import org.arbutusspar.core.Nanos;

/** Expected and observed times of recent work. Times of events are monotonic, in nanoseconds. */
final class WorkTimes {

  private static final double REPLICA_RETENTION = 0.95;
  private static final double SERVICE_RETENTION = 0.998;

  /** Number of mean pieces of work at the usual speed that a replica is credited with. */
  private static final double ASSUMED_WORK = 3;

  /**
   * Largest ratio of an observed time to the usual one that counts, so that one request which took
   * long by itself does not make its replica look slow.
   */
  private static final double MAX_TIME_RATIO = 4;

  /** Number of observations before which times are not bounded. */
  private static final double MIN_WORK_FOR_BOUNDS = 10;

  /**
   * Time in which the work of a replica loses half of its weight, in seconds, so that one which was
   * slow and gets little work is tried again.
   */
  private static final double HALF_LIFE_SECONDS = 4;

  private static final double NANOS_PER_SECOND = Nanos.ofMillis(1_000);

  private final double retention;
  private double expectedMillis;
  private double observedMillis;
  private double count;
  private long addedAt;

  private WorkTimes(double retention) {
    this.retention = retention;
  }

  /** Returns empty times of one replica, which cover about its last twenty requests. */
  static WorkTimes ofReplica() {
    return new WorkTimes(REPLICA_RETENTION);
  }

  /** Returns empty times of all replicas of a service. */
  static WorkTimes ofService() {
    return new WorkTimes(SERVICE_RETENTION);
  }

  /** Adds the expected and the observed time of some work that ends now. */
  void add(double expected, double observed, long now) {
    expectedMillis = retention * expectedMillis + expected;
    observedMillis = retention * observedMillis + observed;
    count = retention * count + 1;
    addedAt = now;
  }

  /** Returns an observed time, limited to what is plausible by these times. */
  double bounded(double expected, double observed) {
    if (count < MIN_WORK_FOR_BOUNDS) {
      return observed;
    }
    double usual = expected * timeRatio();
    return Math.min(MAX_TIME_RATIO * usual, Math.max(usual / MAX_TIME_RATIO, observed));
  }

  /** Returns the speed at which this work was done, relative to the work of the whole service. */
  double speedRelativeTo(WorkTimes service, long now) {
    if (service.count == 0 || service.observedMillis <= 0) {
      return 1;
    }
    double assumedExpected = ASSUMED_WORK * service.expectedMillis / service.count;
    double assumedObserved = assumedExpected * service.timeRatio();
    double weight = Math.pow(0.5, (now - addedAt) / NANOS_PER_SECOND / HALF_LIFE_SECONDS);
    double ratio =
        (weight * observedMillis + assumedObserved) / (weight * expectedMillis + assumedExpected);
    return service.timeRatio() / ratio;
  }

  private double timeRatio() {
    return observedMillis / expectedMillis;
  }
}
