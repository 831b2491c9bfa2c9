package org.arbutusspar.core.placement;

import org.arbutusspar.core.routing.Route;

/** Decides whether a request may be retried at another replica. */
public final class RetryRules {

  private RetryRules() {}

  /**
   * Returns whether the rules of a route permit a retry. Does not check the retry budget.
   *
   * @param route the request's route, not null
   * @param verdict how the last attempt ended, not null
   * @param sentAttempts number of attempts so far that were sent to a replica
   * @return true if a retry violates neither the route's guarantees nor its limit of attempts
   */
  public static boolean mayRetry(Route route, SendVerdict verdict, int sentAttempts) {
    return switch (verdict) {
      case NOT_SENT -> true;
      case NOT_RUN, MISDIRECTED -> sentAttempts < route.maxAttempts();
      case FAILED, UNKNOWN -> route.isRetryable() && sentAttempts < route.maxAttempts();
    };
  }

  /**
   * Returns whether the next attempt counts against the retry budget.
   *
   * @param sentAttempts number of attempts so far that were sent to a replica
   * @return true if an earlier attempt was sent
   */
  public static boolean needsRetryBudget(int sentAttempts) {
    return sentAttempts > 0;
  }
}
