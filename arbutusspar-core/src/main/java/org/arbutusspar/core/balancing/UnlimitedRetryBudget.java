package org.arbutusspar.core.balancing;

/** Budget that never refuses: the baseline for {@link TokenRetryBudget}. */
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
