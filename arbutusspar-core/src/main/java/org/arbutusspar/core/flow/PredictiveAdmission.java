package org.arbutusspar.core.flow;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Admits a request only if it is predicted to meet its deadline. A rejected caller is asked to
 * retry when the backlog is expected to have drained: after the time by which the prediction
 * exceeds the deadline, times a random factor from 1 to 2, so that rejected callers do not all
 * retry at once.
 */
public final class PredictiveAdmission implements Admission {

  /** Factor on the predicted run time, as a safety margin. */
  private static final double RUN_TIME_MARGIN = 1.1;

  /** Factor for an objective that puts cost first. It is larger, so fewer requests are admitted. */
  private static final double COST_FIRST_RUN_TIME_MARGIN = 1.3;

  private static final double MIN_RETRY_AFTER_MILLIS = 200;
  private static final double MAX_RETRY_AFTER_MILLIS = 30_000;

  private final UniformRandomProvider random;

  private PredictiveAdmission(UniformRandomProvider random) {
    this.random = random;
  }

  /**
   * Returns the policy.
   *
   * @param random source of random numbers, not null
   * @return the policy
   */
  public static PredictiveAdmission create(UniformRandomProvider random) {
    return new PredictiveAdmission(random);
  }

  @Override
  public long decide(PathForecast forecast) {
    double margin = forecast.costFirst() ? COST_FIRST_RUN_TIME_MARGIN : RUN_TIME_MARGIN;
    double neededMillis = forecast.runMillis() * margin + forecast.queueMillis();
    if (neededMillis <= forecast.remainingMillis()) {
      return ADMIT;
    }
    double excessMillis = neededMillis - forecast.remainingMillis();
    double retryAfterMillis =
        Math.max(MIN_RETRY_AFTER_MILLIS, excessMillis) * (1 + random.nextDouble());
    return (long) Math.min(MAX_RETRY_AFTER_MILLIS, retryAfterMillis);
  }
}
