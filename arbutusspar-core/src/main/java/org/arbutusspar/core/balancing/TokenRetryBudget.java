package org.arbutusspar.core.balancing;

import org.apache.commons.lang3.Validate;

/**
 * Token bucket for extra calls. Each first attempt adds a fraction of a token and each extra call
 * takes one, so that extra calls remain a fixed share of the load however many calls fail.
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
   * @param tokensPerFirstAttempt tokens that a first attempt adds, 0 to 1
   * @param maxTokens capacity of the bucket in tokens, not negative
   * @return the budget
   */
  public static TokenRetryBudget create(double tokensPerFirstAttempt, double maxTokens) {
    Validate.inclusiveBetween(
        0.0, 1.0, tokensPerFirstAttempt, "tokens per first attempt must be from 0 to 1");
    Validate.isTrue(maxTokens >= 0, "maximum number of tokens must not be negative");
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
