package org.arbutusspar.core.placement;

import java.util.Arrays;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.Nanos;

/**
 * Limits the retries that one instance sends to a service within a sliding window, so that the
 * retries of all instances together stay within a ratio of the requests plus a fixed allowance. The
 * allowance is not available during the first window after the first use: an instance that was
 * killed and restarted may have sent retries shortly before, which still count in that window.
 *
 * <p>Load pattern: a service fails some of its requests, and clients retry at once.
 */
public final class WindowedRetryBudget {

  /** Number of equal time slices of a window; requests and retries are counted by slice. */
  private static final int SLICES_PER_WINDOW = 20;

  /** Share of the ratio that is used; the margin covers counts that are off by one slice. */
  private static final double USED_RATIO_SHARE = 0.8;

  /** Share of the allowance that is used; the margin covers instances that are not yet known. */
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
   * @param ratio retries per request, not negative
   * @param windowMillis length of the window in milliseconds, at least 20
   * @return the budget
   */
  public static WindowedRetryBudget create(double ratio, long windowMillis) {
    Validate.isTrue(ratio >= 0, "ratio must not be negative");
    Validate.isTrue(windowMillis >= SLICES_PER_WINDOW, "windowMillis must be at least 20");
    return new WindowedRetryBudget(ratio, windowMillis);
  }

  /**
   * Counts a request of a client, which increases the budget.
   *
   * @param now current monotonic time, in nanoseconds
   */
  public void onRequest(long now) {
    advance(now);
    requests[slot(currentSlice)]++;
  }

  /**
   * Takes one retry from the budget if it is available.
   *
   * @param allowance fixed number of retries per window of all instances together
   * @param instances number of known instances, live or not, over 0
   * @param now current monotonic time, in nanoseconds
   * @return true if the retry may be sent
   */
  public boolean tryTake(double allowance, int instances, long now) {
    if (available(allowance, instances, now) < 1) {
      return false;
    }
    retries[slot(currentSlice)]++;
    return true;
  }

  /**
   * Returns how many retries may be sent now.
   *
   * @param allowance fixed number of retries per window of all instances together
   * @param instances number of known instances, live or not, over 0
   * @param now current monotonic time, in nanoseconds
   * @return number of retries, not negative, may have a fraction
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
