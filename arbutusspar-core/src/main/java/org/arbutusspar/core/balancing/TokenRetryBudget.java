package org.arbutusspar.core.balancing;

import org.apache.commons.lang3.Validate;

/**
 * Budget that earns a fraction of a token with each first attempt and spends one on each extra
 * call, so that extra calls stay a fixed share of the load whatever fails.
 */
public final class TokenRetryBudget implements RetryBudget {

  private final double share;
  private final double cap;
  private double tokens;

  private TokenRetryBudget(double share, double cap) {
    this.share = share;
    this.cap = cap;
    this.tokens = cap;
  }

  /**
   * Returns a full budget.
   *
   * @param share tokens earned by a first attempt, 0 to 1
   * @param cap most tokens that are kept, not negative
   * @return the budget
   */
  public static TokenRetryBudget create(double share, double cap) {
    Validate.inclusiveBetween(0.0, 1.0, share, "share must be from 0 to 1");
    Validate.isTrue(cap >= 0, "cap must not be negative");
    return new TokenRetryBudget(share, cap);
  }

  @Override
  public void onFirstAttempt() {
    tokens = Math.min(cap, tokens + share);
  }

  @Override
  public boolean tryTake() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
