package org.arbutusspar.core.placement;

import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.Nanos;

/**
 * How long a replica is passed over after failures: each failure in a row doubles the time, up to a
 * bound, so that one that stays broken costs few requests and one that is back is found soon.
 */
public final class FailureCooldown {

  /** Before any moment of the steady clock. */
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
   * Returns a rest that has not begun.
   *
   * @param firstMillis rest after the first failure in milliseconds, over 0
   * @param maxDoublings most times that it is doubled, not negative
   * @return the rest
   */
  public static FailureCooldown create(long firstMillis, int maxDoublings) {
    Validate.isTrue(firstMillis > 0, "firstMillis must be positive");
    Validate.isTrue(maxDoublings >= 0, "maxDoublings must not be negative");
    return new FailureCooldown(firstMillis, maxDoublings);
  }

  /** Begins a rest after a failure. */
  public void failed(long now) {
    coolDownFor(firstMillis << Math.min(failures, maxDoublings), now);
    failures++;
  }

  /** Begins a rest of a given length that counts as no failure. */
  public void coolDownFor(long millis, long now) {
    until = now + Nanos.ofMillis(millis);
  }

  /** Takes a success: the next failure is the first in a row. A rest goes on. */
  public void succeeded() {
    failures = 0;
  }

  /** Ends a rest. */
  public void clear() {
    until = NEVER;
  }

  /** Returns whether the replica rests. */
  public boolean isCoolingDown(long now) {
    return now - until < 0;
  }

  /** Returns when the rest ends or has ended. */
  public long until() {
    return until;
  }
}
