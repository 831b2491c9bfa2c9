package org.arbutusspar.core.placement;

import java.util.Objects;

/**
 * Decision whether requests with a prompt part may be sent to model engines. Of two decisions on a
 * part, the later one is in force. Immutable.
 *
 * @param part identifier of the part
 * @param decidedMillis time of the decision in Unix milliseconds
 * @param blockedUntilMillis end of the block in Unix milliseconds, 0 if the part is not blocked
 */
public record PromptPartVerdict(String part, long decidedMillis, long blockedUntilMillis) {

  /** Checks that the part is not null. */
  public PromptPartVerdict {
    Objects.requireNonNull(part, "part");
  }

  /**
   * Returns a decision to block a part.
   *
   * @param part identifier of the part, not null
   * @param nowMillis current time in Unix milliseconds
   * @param blockMillis length of the block in milliseconds
   * @return the decision
   */
  public static PromptPartVerdict blocked(String part, long nowMillis, long blockMillis) {
    return new PromptPartVerdict(part, nowMillis, nowMillis + blockMillis);
  }

  /**
   * Returns a decision to permit a part.
   *
   * @param part identifier of the part, not null
   * @param nowMillis current time in Unix milliseconds
   * @return the decision
   */
  public static PromptPartVerdict permitted(String part, long nowMillis) {
    return new PromptPartVerdict(part, nowMillis, 0);
  }

  /**
   * Returns whether the part is blocked.
   *
   * @param nowMillis current time in Unix milliseconds
   * @return true before the end of the block
   */
  public boolean isBlocked(long nowMillis) {
    return nowMillis < blockedUntilMillis;
  }
}
