package org.arbutusspar.core.stage;

import org.apache.commons.lang3.Validate;

/**
 * Admission control of requests with stages. Admits a request if its expected queue wait uses at
 * most a share of its slack, the time that its target leaves beyond the work itself.
 *
 * <p>Load pattern: a burst beyond the capacity of the stages. Admitting every request makes nearly
 * all of them exceed their target time. Rejecting at once those that would exceed it keeps the
 * others in time, and clients retry when the burst may be over.
 */
public final class StageAdmission {

  /**
   * Maximum share of the slack that the expected wait may use, by priority rank. Lower shares make
   * admission reject less urgent requests first. A share above 1 admits requests that are expected
   * to exceed their target time slightly.
   */
  private static final double[] WAIT_SHARES_BY_PRIORITY = {1.2, 0.95, 0.65};

  /**
   * Maximum shares for client retries. They are lower because a late response to a retry is worth
   * little. They are above zero because a second rejection costs a client more than the first. Once
   * admitted, a retry is served like a new request.
   */
  private static final double[] CLIENT_RETRY_WAIT_SHARES_BY_PRIORITY = {0.8, 0.5, 0.3};

  private StageAdmission() {}

  /**
   * Decides whether to admit a request.
   *
   * @param workMillis expected time of its stages without queue waits, in milliseconds
   * @param waitMillis expected queue wait in milliseconds
   * @param targetMillis time within which its response counts as in time, in milliseconds
   * @param remainingMillis time until its deadline less the time that the response itself takes, in
   *     milliseconds
   * @param priority priority rank of the request, 0 is the most urgent
   * @param isClientRetry whether the client has probably sent it before and been rejected
   * @return the verdict
   */
  public static Verdict decide(
      double workMillis,
      double waitMillis,
      double targetMillis,
      double remainingMillis,
      int priority,
      boolean isClientRetry) {
    Validate.isTrue(priority >= 0, "priority must not be negative");
    if (workMillis + waitMillis > remainingMillis) {
      return Verdict.NO_TIME;
    }
    double slackMillis = Math.max(0, targetMillis - workMillis);
    double[] shares =
        isClientRetry ? CLIENT_RETRY_WAIT_SHARES_BY_PRIORITY : WAIT_SHARES_BY_PRIORITY;
    double share = shares[Math.min(shares.length - 1, priority)];
    return waitMillis > share * slackMillis ? Verdict.OVERLOAD : Verdict.TAKE;
  }

  /** Decision on the admission of a request. */
  public enum Verdict {
    /** The request is admitted. */
    TAKE,
    /** The request is rejected: it cannot be answered before its deadline. */
    NO_TIME,
    /** The request is rejected: its expected wait exceeds the share of its slack. */
    OVERLOAD
  }
}
