package org.arbutusspar.core.stage;

/**
 * Estimated time that a new piece of a service waits for the start of its call.
 *
 * @param inTimeMillis wait of a piece before its latest start time, in milliseconds
 * @param lateMillis wait of a piece past its latest start time, in milliseconds
 */
public record QueueWait(int inTimeMillis, int lateMillis) {

  /** No wait. */
  public static final QueueWait NONE = new QueueWait(0, 0);

  /**
   * Returns the waits with a time added to both.
   *
   * @param millis time to add in milliseconds
   * @return the longer waits
   */
  public QueueWait plus(int millis) {
    return millis == 0 ? this : new QueueWait(inTimeMillis + millis, lateMillis + millis);
  }

  /**
   * Returns whether either wait differs from the same wait of another estimate.
   *
   * @param other estimate to compare with, not null
   * @param millis largest difference that is ignored, in milliseconds
   * @return true if one of the two differences is larger
   */
  public boolean differs(QueueWait other, int millis) {
    return Math.abs(inTimeMillis - other.inTimeMillis) > millis
        || Math.abs(lateMillis - other.lateMillis) > millis;
  }

  /**
   * Returns the wait of a late piece or of a piece in time.
   *
   * @param late whether the piece is past its latest start time
   * @return the wait in milliseconds
   */
  public int millis(boolean late) {
    return late ? lateMillis : inTimeMillis;
  }
}
