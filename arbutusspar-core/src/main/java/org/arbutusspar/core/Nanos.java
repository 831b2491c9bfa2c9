package org.arbutusspar.core;

import java.util.concurrent.TimeUnit;

/** Conversions of durations on the monotonic clock. */
public final class Nanos {

  private static final double NANOS_PER_MILLI = 1_000_000.0;

  private Nanos() {}

  /**
   * Returns a duration in nanoseconds.
   *
   * @param millis the duration in milliseconds
   * @return the duration in nanoseconds
   */
  public static long ofMillis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /**
   * Returns a duration in milliseconds.
   *
   * @param nanos the duration in nanoseconds
   * @return the duration in milliseconds, with its fraction
   */
  public static double toMillis(long nanos) {
    return nanos / NANOS_PER_MILLI;
  }
}
