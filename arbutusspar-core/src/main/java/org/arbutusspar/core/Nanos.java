package org.arbutusspar.core;

import java.util.concurrent.TimeUnit;

/** Conversions between milliseconds and nanoseconds, the unit of the monotonic clock. */
public final class Nanos {

  private static final double NANOS_PER_MILLI = 1_000_000.0;

  private Nanos() {}

  /**
   * Converts a duration from milliseconds to nanoseconds.
   *
   * @param millis the duration in milliseconds
   * @return the duration in nanoseconds
   */
  public static long ofMillis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /**
   * Converts a duration from nanoseconds to milliseconds.
   *
   * @param nanos the duration in nanoseconds
   * @return the duration in milliseconds, including the fraction
   */
  public static double toMillis(long nanos) {
    return nanos / NANOS_PER_MILLI;
  }
}
