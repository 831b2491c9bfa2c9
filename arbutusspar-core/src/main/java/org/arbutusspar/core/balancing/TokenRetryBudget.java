package org.arbutusspar.core.balancing;

import org.apache.commons.lang3.Validate;

/**
 * Budget that earns a fraction of a token with each first attempt and spends one on each extra
 * call, so that extra calls stay a fixed share of the load whatever fails.
 */
public final class TokenRetryBudget implements RetryBudget {

  private final double tokensPerFirstAttempt;
  private final double maxTokens;
  private double tokens;

  private TokenRetryBudget(double tokensPerFirstAttempt, double maxTokens) {
    this.tokensPerFirstAttempt = tokensPerFirstAttempt;
    this.maxTokens = maxTokens;
    this.tokens = maxTokens;
  }

  /**
   * Returns a full budget.
   *
   * @param tokensPerFirstAttempt tokens earned by a first attempt, 0 to 1
   * @param maxTokens most tokens that are kept, not negative
   * @return the budget
   */
  public static TokenRetryBudget create(double tokensPerFirstAttempt, double maxTokens) {
    Validate.inclusiveBetween(0.0, 1.0, tokensPerFirstAttempt, "share must be from 0 to 1");
    Validate.isTrue(maxTokens >= 0, "cap must not be negative");
    return new TokenRetryBudget(tokensPerFirstAttempt, maxTokens);
  }

  @Override
  public void onFirstAttempt() {
    tokens = Math.min(maxTokens, tokens + tokensPerFirstAttempt);
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
