package org.arbutusspar.core.placement;

import org.arbutusspar.core.routing.Route;

/** Decides whether a request goes to another replica, and what its client may be told. */
public final class RetryRules {

  private RetryRules() {}

  /**
   * Returns whether a request may go to another replica, the retry budget aside.
   *
   * @param route the request's route, not null
   * @param verdict how the last attempt ended, not null
   * @param sentAttempts attempts that were handed to a replica so far
   * @return true if another attempt keeps what the route promises
   */
  public static boolean mayRetry(Route route, SendVerdict verdict, int sentAttempts) {
    return switch (verdict) {
      case NOT_SENT -> true;
      case NOT_RUN, MISDIRECTED -> sentAttempts < route.maxAttempts();
      case FAILED, UNKNOWN -> route.isRetryable() && sentAttempts < route.maxAttempts();
    };
  }

  /**
   * Returns whether an attempt that follows counts against the retry budget.
   *
   * @param sentAttempts attempts that were handed to a replica so far
   * @return true if a replica has seen the request before
   */
  public static boolean needsRetryBudget(int sentAttempts) {
    return sentAttempts > 0;
  }
}
