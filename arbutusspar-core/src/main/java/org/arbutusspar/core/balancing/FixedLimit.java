package org.arbutusspar.core.balancing;

import org.apache.commons.lang3.Validate;

/** Concurrency limit that never changes. Baseline for comparisons with {@link AdaptiveLimit}. */
public final class FixedLimit implements ConcurrencyLimit {

  private final int limit;

  private FixedLimit(int limit) {
    this.limit = limit;
  }

  /**
   * Returns a fixed limit.
   *
   * @param limit maximum number of calls in flight, at least 1
   * @return the limit
   */
  public static FixedLimit of(int limit) {
    Validate.isTrue(limit >= 1, "limit must be at least 1");
    return new FixedLimit(limit);
  }

  @Override
  public int current() {
    return limit;
  }

  @Override
  public void onSuccess(double slowness, int inFlight) {}

  @Override
  public void onOverload() {}

  @Override
  public void onReport(LoadReport report, int inFlight) {}
}
