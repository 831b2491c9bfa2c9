package org.arbutusspar.core.balancing;

/** Budget that allows every extra call. Baseline for comparisons with {@link TokenRetryBudget}. */
public final class UnlimitedRetryBudget implements RetryBudget {

  private UnlimitedRetryBudget() {}

  /** Returns the budget. */
  public static UnlimitedRetryBudget create() {
    return new UnlimitedRetryBudget();
  }

  @Override
  public void onFirstAttempt() {}

  @Override
  public boolean tryTake() {
    return true;
  }
}
