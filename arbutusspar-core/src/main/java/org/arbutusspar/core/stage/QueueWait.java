package org.arbutusspar.core.stage;

/**
 * How long a new piece of a service waits for the start of its call, estimated.
 *
 * @param inTimeMillis wait of a piece whose request can still be in time, in milliseconds
 * @param lateMillis wait of a piece whose request is late already, in milliseconds
 */
public record QueueWait(int inTimeMillis, int lateMillis) {

  /** Nothing waits. */
  public static final QueueWait NONE = new QueueWait(0, 0);

  /** Returns both waits, longer by some milliseconds. */
  public QueueWait plus(int millis) {
    return millis == 0 ? this : new QueueWait(inTimeMillis + millis, lateMillis + millis);
  }

  /** Returns whether one of the waits differs from another's by more than some milliseconds. */
  public boolean differs(QueueWait other, int millis) {
    return Math.abs(inTimeMillis - other.inTimeMillis) > millis
        || Math.abs(lateMillis - other.lateMillis) > millis;
  }

  /** Returns the wait of one kind of piece. */
  public int millis(boolean late) {
    return late ? lateMillis : inTimeMillis;
  }
}
