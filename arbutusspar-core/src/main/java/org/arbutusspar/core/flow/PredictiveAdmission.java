package org.arbutusspar.core.flow;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Admits a request only if the rest of its path is predicted to fit what is left of its deadline. A
 * refused caller is told to come back when the backlog will have drained, spread at random so that
 * refused callers do not return together.
 */
public final class PredictiveAdmission implements Admission {

  private static final double MARGIN = 1.1;
  private static final double COST_FIRST_MARGIN = 1.3;
  private static final double MIN_COME_BACK_MILLIS = 200;
  private static final double MAX_COME_BACK_MILLIS = 30_000;

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
    double margin = forecast.costFirst() ? COST_FIRST_MARGIN : MARGIN;
    double need = forecast.runMillis() * margin + forecast.queueMillis();
    if (need <= forecast.remainingMillis()) {
      return ADMIT;
    }
    double excess = need - forecast.remainingMillis();
    double wait = Math.max(MIN_COME_BACK_MILLIS, excess) * (1 + random.nextDouble());
    return (long) Math.min(MAX_COME_BACK_MILLIS, wait);
  }
}
