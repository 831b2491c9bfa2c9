package org.arbutusspar.core.placement;

import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.Nanos;

/**
 * Cooldown of a replica after failures, during which it is not selected. Each successive failure
 * doubles the cooldown, up to a maximum: a replica that stays broken fails few requests, and one
 * that works again is soon used. The current time is passed on the monotonic clock in nanoseconds.
 */
public final class FailureCooldown {

  /** Earlier than any time of the monotonic clock. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final long firstMillis;
  private final int maxDoublings;
  private int failures;
  private long until = NEVER;

  private FailureCooldown(long firstMillis, int maxDoublings) {
    this.firstMillis = firstMillis;
    this.maxDoublings = maxDoublings;
  }

  /**
   * Returns a cooldown that is not active.
   *
   * @param firstMillis cooldown after the first failure in milliseconds, over 0
   * @param maxDoublings maximum number of doublings, not negative
   * @return the cooldown
   */
  public static FailureCooldown create(long firstMillis, int maxDoublings) {
    Validate.isTrue(firstMillis > 0, "firstMillis must be positive");
    Validate.isTrue(maxDoublings >= 0, "maxDoublings must not be negative");
    return new FailureCooldown(firstMillis, maxDoublings);
  }

  /** Starts a cooldown after a failure, longer after each successive failure. */
  public void failed(long now) {
    coolDownFor(firstMillis << Math.min(failures, maxDoublings), now);
    failures++;
  }

  /** Starts a cooldown of the given length that does not count as a failure. */
  public void coolDownFor(long millis, long now) {
    until = now + Nanos.ofMillis(millis);
  }

  /** Resets the count of successive failures. An active cooldown continues. */
  public void succeeded() {
    failures = 0;
  }

  /** Ends an active cooldown. */
  public void clear() {
    until = NEVER;
  }

  /** Returns whether a cooldown is active. */
  public boolean isCoolingDown(long now) {
    return now - until < 0;
  }

  /** Returns the end of the last cooldown on the monotonic clock, in nanoseconds. */
  public long until() {
    return until;
  }
}
