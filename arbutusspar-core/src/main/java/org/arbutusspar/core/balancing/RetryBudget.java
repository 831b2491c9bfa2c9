package org.arbutusspar.core.balancing;

/** Bounds the share of extra calls: retries and second copies. */
public interface RetryBudget {

  /** Counts a first attempt. */
  void onFirstAttempt();

  /**
   * Takes the right to one extra call.
   *
   * @return true if the call may be made
   */
  boolean tryTake();
}
