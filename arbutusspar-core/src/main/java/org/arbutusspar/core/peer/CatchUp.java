package org.arbutusspar.core.peer;

/**
 * Tells since when a table lacks changes that a peer has, and how often they were requested.
 *
 * <p>Not thread-safe.
 */
public final class CatchUp {

  private boolean behind;

  /** Time since which the table lacks changes, if it does. */
  private long behindSince;

  private int requests;

  private CatchUp() {}

  /** Returns the state of a table that lacks nothing. */
  public static CatchUp create() {
    return new CatchUp();
  }

  /**
   * Records that a peer has changes that the table lacks.
   *
   * @param now current monotonic time, in nanoseconds
   */
  public void onBehind(long now) {
    if (!behind) {
      behind = true;
      behindSince = now;
      requests = 0;
    }
  }

  /** Records that no peer has changes that the table lacks. */
  public void onCaughtUp() {
    behind = false;
    requests = 0;
  }

  /** Returns whether the table lacks changes that a peer has. */
  public boolean isBehind() {
    return behind;
  }

  /**
   * Records a request for changes, and returns the number of requests since the table lacks any.
   */
  public int onRequest() {
    return ++requests;
  }

  /** Returns the number of requests since the table lacks changes. */
  public int requests() {
    return requests;
  }

  /**
   * Returns for how long the table has lacked changes.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the time in nanoseconds, 0 if it lacks none
   */
  public long behindNanos(long now) {
    return behind ? now - behindSince : 0;
  }
}
