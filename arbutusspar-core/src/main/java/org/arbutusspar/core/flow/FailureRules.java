package org.arbutusspar.core.flow;

import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Reason;

/** Rules for failed attempts: retries, ejection of the replica, and the outcome for callers. */
final class FailureRules {

  /** Maximum number of attempts of a request over all its stages. */
  static final int MAX_ATTEMPTS = 12;

  /** Delay after which a caller should retry after a failure. */
  static final long RETRY_AFTER_MILLIS = 1_000;

  private FailureRules() {}

  /** Returns whether it is unknown after a failure whether the call took effect. */
  static boolean mayHaveTakenEffect(AttemptFailure failure) {
    return switch (failure.kind()) {
      case LOST, SILENT, INVALID -> true;
      case NOT_SENT, REFUSED, REJECTED, ERROR -> false;
    };
  }

  /** Returns whether a failure counts towards the ejection of the replica. */
  static boolean countsAgainstReplica(AttemptFailure failure) {
    return switch (failure.kind()) {
      case REJECTED, SILENT -> false;
      case NOT_SENT, REFUSED, ERROR, LOST, INVALID -> true;
    };
  }

  /**
   * Returns whether a stage is retried after a failed attempt. If so, one call is taken from the
   * retry budget, unless the retry is exempt.
   *
   * @param request the request
   * @param attempt the failed attempt
   * @param failure how it failed
   * @param now monotonic time in nanoseconds
   * @return true if the stage is to be retried
   */
  static boolean mayRetry(
      ActiveRequest request, Attempt attempt, AttemptFailure failure, long now) {
    Service service = attempt.pool().service();
    boolean safeToRetry =
        failure.kind() == AttemptFailure.Kind.NOT_SENT
            || request.request().repeatable()
            || service.idempotencyKeys();
    return safeToRetry
        && failure.kind() != AttemptFailure.Kind.REJECTED
        && request.attemptCount() < MAX_ATTEMPTS
        && request.remainingMillis(now) > 0
        && isWithinBudget(attempt, failure);
  }

  /**
   * Returns whether the retry budget allows another attempt. A retry after a silent connection is
   * exempt from the budget, because each connection fails this way at most once.
   */
  private static boolean isWithinBudget(Attempt attempt, AttemptFailure failure) {
    return failure.kind() == AttemptFailure.Kind.SILENT || attempt.pool().retryBudget().tryTake();
  }

  /** Returns the reason that callers get for a failure. */
  static Reason reasonOf(AttemptFailure failure) {
    return switch (failure.kind()) {
      case LOST, SILENT -> Reason.UPSTREAM_LOST;
      case INVALID -> Reason.INVALID_ANSWER;
      default -> Reason.UPSTREAM_FAILED;
    };
  }

  /**
   * Returns the outcome of a request without an answer. The verdict is {@code NOT_RUN} only if no
   * byte of any attempt was sent, and {@code UNKNOWN} if an attempt may have taken effect.
   *
   * @param request the request
   * @param reason why it has no answer
   * @param origin where the failure arose
   * @return the outcome
   */
  static Outcome.Refused refusedOutcome(
      ActiveRequest request, Reason reason, Outcome.Origin origin) {
    Outcome.Verdict verdict = Outcome.Verdict.FAILED;
    long retryAfterMillis = RETRY_AFTER_MILLIS;
    if (!request.mayHaveRun()) {
      verdict = Outcome.Verdict.NOT_RUN;
    } else if (request.mayHaveTakenEffect()) {
      verdict = Outcome.Verdict.UNKNOWN;
      retryAfterMillis = Outcome.Refused.NEVER;
    }
    return new Outcome.Refused(verdict, reason, origin, retryAfterMillis, request.costs());
  }
}
