package org.arbutusspar.core.peer;

import org.apache.commons.lang3.Validate;

/**
 * Position in a topic of the store, as one number: the era of the store and an offset.
 *
 * <p>The era rises each time the store returns from a copy, after which offsets are given out
 * again. A position of a later era is the larger number, whatever the offsets are. The position of
 * a store without eras equals the offset. A negative number stands for no position.
 */
public final class StorePosition {

  private static final int OFFSET_BITS = 40;
  private static final long MAX_OFFSET = (1L << OFFSET_BITS) - 1;
  private static final long MAX_ERA = Long.MAX_VALUE >> OFFSET_BITS;

  private StorePosition() {}

  /**
   * Returns the position of an offset.
   *
   * @param era the era, not negative
   * @param offset the offset, not negative
   * @return the position
   * @throws IllegalArgumentException if a number is out of range
   */
  public static long of(long era, long offset) {
    Validate.inclusiveBetween(0, MAX_ERA, era);
    Validate.inclusiveBetween(0, MAX_OFFSET, offset);
    return era << OFFSET_BITS | offset;
  }

  /** Returns the era of a position, -1 if it is negative. */
  public static long era(long position) {
    return position < 0 ? -1 : position >> OFFSET_BITS;
  }

  /** Returns the offset of a position, -1 if it is negative. */
  public static long offset(long position) {
    return position < 0 ? -1 : position & MAX_OFFSET;
  }

  /** Returns whether a position is of a later era than another one, which is not negative. */
  public static boolean isLaterEra(long position, long other) {
    return other >= 0 && era(position) > era(other);
  }

  /** Returns a position as ERA/OFFSET for logs. */
  public static String toText(long position) {
    return position < 0 ? "-1" : era(position) + "/" + offset(position);
  }
}
