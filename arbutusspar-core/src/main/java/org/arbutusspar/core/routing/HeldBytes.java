package org.arbutusspar.core.routing;

import org.apache.commons.lang3.Validate;

/**
 * Bytes of requests and responses that an instance holds for clients and replicas, over all
 * connections, and what it does at which fill level. Thread-safe.
 *
 * <p>Load pattern: many clients or replicas that read slowly. What waits for them must not use up
 * the memory that serves all others; and as long as there is memory, a response is taken from its
 * replica, which cuts it off if it stays unread.
 */
public final class HeldBytes {

  /** Level up to which responses are taken from replicas faster than their clients read them. */
  private static final double READ_AHEAD_LEVEL = 0.5;

  /** Level from which requests with a body are rejected. */
  private static final double REJECT_BODIES_LEVEL = 0.75;

  private final long maxBytes;
  private long bytes;

  private HeldBytes(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Returns an object that counts no bytes.
   *
   * @param maxBytes number of bytes that may be held, over 0
   * @return the object
   */
  public static HeldBytes create(long maxBytes) {
    Validate.isTrue(maxBytes > 0, "maxBytes must be positive");
    return new HeldBytes(maxBytes);
  }

  /** Returns a part of these bytes that is released as a whole. */
  public Hold newHold() {
    return new Hold();
  }

  /** Returns the number of bytes held. */
  public synchronized long bytes() {
    return bytes;
  }

  private synchronized void change(long count) {
    bytes += count;
  }

  /** Returns the number of bytes that may be held. */
  public long maxBytes() {
    return maxBytes;
  }

  /** Returns whether a response may be read faster than its client takes it. */
  public boolean permitsReadAhead() {
    return bytes() < READ_AHEAD_LEVEL * maxBytes;
  }

  /** Returns whether a new request with a body may be read. */
  public boolean permitsBody() {
    return bytes() < REJECT_BODIES_LEVEL * maxBytes;
  }

  /** Returns whether no more than the permitted number of bytes is held. */
  public boolean isWithinLimit() {
    return bytes() <= maxBytes;
  }

  /** Bytes held for one purpose. Thread-safe. */
  public final class Hold implements AutoCloseable {

    private long held;
    private boolean closed;

    private Hold() {}

    /**
     * Adds bytes. Does nothing after the release.
     *
     * @param count number of bytes; negative to release some of them
     */
    public synchronized void add(long count) {
      if (!closed) {
        held += count;
        change(count);
      }
    }

    /** Returns the number of bytes held for this purpose. */
    public synchronized long count() {
      return held;
    }

    /** Releases all bytes. Further calls have no effect. */
    @Override
    public synchronized void close() {
      add(-held);
      closed = true;
    }
  }
}
