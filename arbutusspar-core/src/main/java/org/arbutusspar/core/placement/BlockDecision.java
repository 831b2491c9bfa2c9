package org.arbutusspar.core.placement;

import java.util.Objects;

/**
 * Decision whether requests with some content may be sent to replicas. Of two decisions on a
 * subject, the later one is in force. Immutable.
 *
 * @param subject what the requests have in common: the identifier of a prompt part, or the subject
 *     of a {@link RequestIdentity}
 * @param decidedMillis time of the decision in Unix milliseconds
 * @param blockedUntilMillis end of the block in Unix milliseconds, 0 if the subject is not blocked
 */
public record BlockDecision(String subject, long decidedMillis, long blockedUntilMillis) {

  /** Checks that the subject is not null. */
  public BlockDecision {
    Objects.requireNonNull(subject, "subject");
  }

  /**
   * Returns a decision to block a subject.
   *
   * @param subject what the requests have in common, not null
   * @param nowMillis current time in Unix milliseconds
   * @param blockMillis length of the block in milliseconds
   * @return the decision
   */
  public static BlockDecision blocked(String subject, long nowMillis, long blockMillis) {
    return new BlockDecision(subject, nowMillis, nowMillis + blockMillis);
  }

  /**
   * Returns a decision to permit a subject.
   *
   * @param subject what the requests have in common, not null
   * @param nowMillis current time in Unix milliseconds
   * @return the decision
   */
  public static BlockDecision permitted(String subject, long nowMillis) {
    return new BlockDecision(subject, nowMillis, 0);
  }

  /**
   * Returns whether the subject is blocked.
   *
   * @param nowMillis current time in Unix milliseconds
   * @return true before the end of the block
   */
  public boolean isBlocked(long nowMillis) {
    return nowMillis < blockedUntilMillis;
  }
}
