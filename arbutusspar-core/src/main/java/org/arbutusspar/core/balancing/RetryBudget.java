package org.arbutusspar.core.balancing;

/** Limits the number of extra calls, that is retries and hedges, relative to first attempts. */
public interface RetryBudget {

  /** Counts a first attempt, which may add to the budget. */
  void onFirstAttempt();

  /**
   * Takes one extra call from the budget.
   *
   * @return true if the call may be sent, false if the budget is used up
   */
  boolean tryTake();
}
