package org.arbutusspar.core.stage;

import org.apache.commons.lang3.Validate;

/**
 * Decides from the expected time of a request's stages whether it is taken.
 *
 * <p>Load pattern: a burst beyond what the stages can do. Taking every request makes nearly all of
 * them late; refusing those that would be late at once keeps the others in time, and the refused
 * ones come back when the burst may be over.
 */
public final class StageAdmission {

  /**
   * Share of the time to spare that waiting may take, by rank of priority: work of the same stages
   * for less urgent requests makes room first.
   */
  private static final double[] WAIT_SHARES_BY_PRIORITY = {1.2, 0.95, 0.65};

  /**
   * The same for requests that came back after a refusal: a late answer is worth little, but a
   * second refusal costs their clients more than the first, and once taken they go like new ones.
   */
  private static final double[] CLIENT_RETRY_WAIT_SHARES_BY_PRIORITY = {0.8, 0.5, 0.3};

  private StageAdmission() {}

  /**
   * Decides on a request.
   *
   * @param workMillis expected time of its work without any waiting
   * @param waitMillis expected waiting
   * @param targetMillis time within which its answer counts as in time
   * @param remainingMillis time until its deadline, less the time that the answer itself takes
   * @param priority rank of the request, 0 is the most urgent
   * @param isClientRetry whether it has been refused before
   * @return the decision
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

  /** A decision. */
  public enum Verdict {
    /** The request is taken. */
    TAKE,
    /** The request cannot be answered before its deadline. */
    NO_TIME,
    /** The request would be late, and would make others late. */
    OVERLOAD
  }
}
