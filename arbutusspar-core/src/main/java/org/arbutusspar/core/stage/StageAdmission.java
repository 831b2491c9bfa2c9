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
    double share = WaitShares.BY_PRIORITY.share(priority, isClientRetry, true);
    return decide(workMillis, waitMillis, targetMillis, remainingMillis, share);
  }

  /**
   * Decides whether to admit a request.
   *
   * @param workMillis expected time of its stages without queue waits, in milliseconds
   * @param waitMillis expected queue wait in milliseconds
   * @param targetMillis time within which its response counts as in time, in milliseconds
   * @param remainingMillis time until its deadline less the time that the response itself takes, in
   *     milliseconds
   * @param share maximum share of its slack that the wait may use
   * @return the verdict
   */
  public static Verdict decide(
      double workMillis,
      double waitMillis,
      double targetMillis,
      double remainingMillis,
      double share) {
    if (workMillis + waitMillis > remainingMillis) {
      return Verdict.NO_TIME;
    }
    double slackMillis = Math.max(0, targetMillis - workMillis);
    return waitMillis > share * slackMillis ? Verdict.OVERLOAD : Verdict.TAKE;
  }

  /**
   * Returns the target of a request that came back after a rejection: what the first attempt has
   * left of it, but no less than half of its slack, since a second rejection costs a client more
   * than a late response.
   *
   * @param workMillis expected time of its stages without queue waits, in milliseconds
   * @param targetMillis target of a new request, in milliseconds
   * @param elapsedMillis time since the client sent it first, in milliseconds
   * @return the target in milliseconds
   */
  public static double clientRetryTargetMillis(
      double workMillis, double targetMillis, double elapsedMillis) {
    double slackMillis = Math.max(0, targetMillis - workMillis);
    return Math.max(targetMillis - elapsedMillis, workMillis + slackMillis / 2);
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
