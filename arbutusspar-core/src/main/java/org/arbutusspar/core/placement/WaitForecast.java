package org.arbutusspar.core.placement;

import java.util.PriorityQueue;
import org.arbutusspar.core.Nanos;

/**
 * Forecasts how long requests wait for room at replicas of one service, from how long requests stay
 * there and from how many were placed recently. Requests that will be late get only the room that
 * others leave. It also dates the return of clients whose requests are rejected, so that they do
 * not come back before there is room for them. Times are monotonic, in nanoseconds.
 */
final class WaitForecast {

  /** Assumed time that a request stays at a replica before any has ended, in milliseconds. */
  private static final double INITIAL_STAY_MILLIS = 1_000;

  /** Least weight of the last request in the mean time that requests stay. */
  private static final double MIN_STAY_WEIGHT = 0.05;

  /** Period over which placed requests are counted. */
  private static final long PERIOD_NANOS = Nanos.ofMillis(1_000);

  /** Least assumed rate of room that comes free, in requests a second. */
  private static final double MIN_PER_SECOND = 0.5;

  /** Least assumed share of the room that requests get which will be late. */
  private static final double MIN_LATE_SHARE = 0.35;

  private static final int MAX_DATES = 4_096;
  private static final double MILLIS_PER_SECOND = 1_000;

  private long ended;
  private double stayMillis = INITIAL_STAY_MILLIS;
  private long periodStart;
  private Placed period = new Placed();
  private Placed previousPeriod = new Placed();

  /** Dates at which rejected clients were instructed to return, the earliest first. */
  private final PriorityQueue<Long> returnDates = new PriorityQueue<>();

  private WaitForecast() {}

  /** Returns a forecast that has seen no requests. */
  static WaitForecast create() {
    return new WaitForecast();
  }

  /** Records how long a request that has ended stayed at its replica, in nanoseconds. */
  void onEnded(long nanos) {
    ended++;
    double weight = Math.max(MIN_STAY_WEIGHT, 1.0 / ended);
    stayMillis += weight * (Nanos.toMillis(nanos) - stayMillis);
  }

  /**
   * Records that a request was placed.
   *
   * @param late whether it will be late
   * @param now current time
   */
  void onPlaced(boolean late, long now) {
    rollPeriod(now);
    if (late) {
      period.late++;
    } else {
      period.inTime++;
    }
  }

  private void rollPeriod(long now) {
    if (now - periodStart >= PERIOD_NANOS) {
      previousPeriod = now - periodStart < 2 * PERIOD_NANOS ? period : new Placed();
      period = new Placed();
      periodStart = now;
    }
  }

  /**
   * Returns the expected wait of a request.
   *
   * @param position number of requests that are placed until it is, itself included
   * @param late whether it will be late, so that others go first
   * @param inFlight number of requests in flight at all replicas
   * @param now current time
   * @return the wait in milliseconds
   */
  long waitMillis(int position, boolean late, int inFlight, long now) {
    rollPeriod(now);
    double endsPerSecond = inFlight / Math.max(1, stayMillis) * MILLIS_PER_SECOND;
    double total = Math.max(endsPerSecond, previousPeriod.inTime + previousPeriod.late);
    double left = Math.max(MIN_LATE_SHARE * total, total - previousPeriod.inTime);
    double perSecond = Math.max(MIN_PER_SECOND, late ? left : total);
    return (long) (position / perSecond * MILLIS_PER_SECOND);
  }

  /**
   * Dates the return of a client whose request is rejected, after those that were dated before.
   *
   * @param position number of requests that would have been placed until it was, itself included
   * @param inFlight number of requests in flight at all replicas
   * @param now current time
   * @return the time after which to return, in milliseconds, over 0
   */
  long returnMillis(int position, int inFlight, long now) {
    while (!returnDates.isEmpty() && returnDates.peek() - now <= 0) {
      returnDates.poll();
    }
    long millis = Math.max(1, waitMillis(position + returnDates.size(), false, inFlight, now));
    if (returnDates.size() < MAX_DATES) {
      returnDates.add(now + Nanos.ofMillis(millis));
    }
    return millis;
  }

  /** Numbers of requests that were placed in one period. */
  private static final class Placed {
    private int inTime;
    private int late;
  }
}
