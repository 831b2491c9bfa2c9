package org.arbutusspar.core.placement;

import java.util.Arrays;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.Nanos;

/**
 * Bounds how many extra requests one instance sends to a service within a sliding window, so that
 * all instances together stay within a share of the requests plus a fixed allowance. The allowance
 * counts only once the budget is as old as its window: what an instance sent before it was killed
 * and started again may still be in that window.
 *
 * <p>Load pattern: a service that fails a part of its requests while clients come back at once.
 */
public final class WindowedRetryBudget {

  private static final int SLICES_PER_WINDOW = 20;

  /** Part of the ratio that is used: requests may be counted a slice apart. */
  private static final double USED_RATIO_SHARE = 0.8;

  /** Part of the fixed allowance that is used, since an instance may not know all others. */
  private static final double USED_ALLOWANCE_SHARE = 0.6;

  private final double ratio;
  private final long windowNanos;
  private final long sliceNanos;
  private final int[] requests = new int[SLICES_PER_WINDOW + 1];
  private final int[] retries = new int[SLICES_PER_WINDOW + 1];
  private long currentSlice;
  private boolean started;
  private long startedAt;

  private WindowedRetryBudget(double ratio, long windowMillis) {
    this.ratio = ratio;
    this.windowNanos = Nanos.ofMillis(windowMillis);
    this.sliceNanos = Nanos.ofMillis(windowMillis) / SLICES_PER_WINDOW;
  }

  /**
   * Returns an unused budget.
   *
   * @param ratio extra requests for each request, not negative
   * @param windowMillis length of the window in milliseconds, positive
   * @return the budget
   */
  public static WindowedRetryBudget create(double ratio, long windowMillis) {
    Validate.isTrue(ratio >= 0, "ratio must not be negative");
    Validate.isTrue(windowMillis >= SLICES_PER_WINDOW, "window must have at least 20 ms");
    return new WindowedRetryBudget(ratio, windowMillis);
  }

  /**
   * Counts a client's request.
   *
   * @param now current time
   */
  public void onRequest(long now) {
    advance(now);
    requests[slot(currentSlice)]++;
  }

  /**
   * Takes the right to one extra request.
   *
   * @param allowance the fixed allowance of all instances together
   * @param instances number of instances that are known, live or not, over 0
   * @param now current time
   * @return true if the request may be sent
   */
  public boolean tryTake(double allowance, int instances, long now) {
    if (available(allowance, instances, now) < 1) {
      return false;
    }
    retries[slot(currentSlice)]++;
    return true;
  }

  /**
   * Returns how many extra requests may be sent now.
   *
   * @param allowance the fixed allowance of all instances together
   * @param instances number of instances that are known, live or not, over 0
   * @param now current time
   * @return the number, not negative, fractions included
   */
  public double available(double allowance, int instances, long now) {
    Validate.isTrue(instances > 0, "instances must be positive");
    advance(now);
    double allowancePart =
        now - startedAt < windowNanos ? 0 : allowance * USED_ALLOWANCE_SHARE / instances;
    return Math.max(0, ratio * USED_RATIO_SHARE * sum(requests) + allowancePart - sum(retries));
  }

  private void advance(long now) {
    long slice = Math.floorDiv(now, sliceNanos);
    if (!started) {
      startedAt = now;
    }
    if (!started || slice - currentSlice > SLICES_PER_WINDOW) {
      Arrays.fill(requests, 0);
      Arrays.fill(retries, 0);
      currentSlice = slice;
      started = true;
    }
    while (currentSlice < slice) {
      currentSlice++;
      requests[slot(currentSlice)] = 0;
      retries[slot(currentSlice)] = 0;
    }
  }

  private int slot(long slice) {
    return (int) Math.floorMod(slice, (long) requests.length);
  }

  private static int sum(int[] counts) {
    int sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }
}
