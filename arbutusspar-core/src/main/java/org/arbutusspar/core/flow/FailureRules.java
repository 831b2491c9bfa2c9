package org.arbutusspar.core.flow;

import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Reason;

/** What follows from the failure of an attempt: retry, blame, and what callers are told. */
final class FailureRules {

  /** Most attempts over all stages of a request. */
  static final int MAX_ATTEMPTS = 12;

  /** When to come back after a failure. */
  static final long COME_BACK_MILLIS = 1_000;

  private FailureRules() {}

  /** Returns whether a failure leaves open whether the call took effect. */
  static boolean leavesUncertain(AttemptFailure failure) {
    return switch (failure.kind()) {
      case LOST, SILENT, INVALID -> true;
      case NOT_SENT, REFUSED, REJECTED, ERROR -> false;
    };
  }

  /** Returns whether a failure is held against the replica. */
  static boolean isBlamed(AttemptFailure failure) {
    return switch (failure.kind()) {
      case REJECTED, SILENT -> false;
      case NOT_SENT, REFUSED, ERROR, LOST, INVALID -> true;
    };
  }

  /** Returns whether a stage may be tried again after an attempt failed; takes from the budget. */
  static boolean mayRetry(
      ActiveRequest request, Attempt attempt, AttemptFailure failure, long now) {
    Service service = attempt.pool().service();
    boolean harmless =
        failure.kind() == AttemptFailure.Kind.NOT_SENT
            || request.request().repeatable()
            || service.idempotencyKeys();
    return harmless
        && failure.kind() != AttemptFailure.Kind.REJECTED
        && request.attemptCount() < MAX_ATTEMPTS
        && request.remainingMillis(now) > 0
        && mayCost(attempt, failure);
  }

  /**
   * Returns whether the budget allows another attempt. One that is lost to a silent connection is
   * free, since a connection goes silent once.
   */
  private static boolean mayCost(Attempt attempt, AttemptFailure failure) {
    return failure.kind() == AttemptFailure.Kind.SILENT || attempt.pool().retryBudget().tryTake();
  }

  /** Returns what callers are told of a failure. */
  static Reason reasonOf(AttemptFailure failure) {
    return switch (failure.kind()) {
      case LOST, SILENT -> Reason.UPSTREAM_LOST;
      case INVALID -> Reason.INVALID_ANSWER;
      default -> Reason.UPSTREAM_FAILED;
    };
  }

  /** Returns the outcome of a request that gets no answer, with a true word on whether it ran. */
  static Outcome.Refused refused(ActiveRequest request, Reason reason, Outcome.Origin origin) {
    Outcome.Verdict verdict = Outcome.Verdict.FAILED;
    long comeBack = COME_BACK_MILLIS;
    if (!request.hasRun()) {
      verdict = Outcome.Verdict.NOT_RUN;
    } else if (request.isUncertain()) {
      verdict = Outcome.Verdict.UNKNOWN;
      comeBack = Outcome.Refused.NEVER;
    }
    return new Outcome.Refused(verdict, reason, origin, comeBack, request.costs());
  }
}
