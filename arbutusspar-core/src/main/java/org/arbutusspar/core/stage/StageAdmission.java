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

  /** Share of the target that the forecast may take, for the most urgent requests. */
  private static final double MOST_SHARE = 1.0;

  /** The share falls by this for each rank of priority, so that urgent requests go on longer. */
  private static final double SHARE_PER_RANK = 0.08;

  private static final int LAST_RANK = 4;

  private StageAdmission() {}

  /**
   * Decides on a request.
   *
   * @param forecastMillis expected time until its answer begins
   * @param targetMillis time within which its answer counts as in time
   * @param leftMillis time until its deadline, less the time that the answer itself takes
   * @param priority rank of the request, 0 is the most urgent
   * @param cameBack whether it has been refused before
   * @return the decision
   */
  public static Verdict decide(
      double forecastMillis,
      double targetMillis,
      double leftMillis,
      int priority,
      boolean cameBack) {
    Validate.isTrue(priority >= 0, "priority must not be negative");
    if (forecastMillis > leftMillis) {
      return Verdict.NO_TIME;
    }
    double share = MOST_SHARE - SHARE_PER_RANK * Math.min(LAST_RANK, priority);
    if (!cameBack && forecastMillis > share * targetMillis) {
      return Verdict.OVERLOAD;
    }
    return Verdict.TAKE;
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
