package org.arbutusspar.core.balancing;

import org.arbutusspar.core.config.CostPrior;

/**
 * Linear regression of duration on the driver, with exponential forgetting.
 *
 * <p>The prior enters as observations that are never forgotten, so that the model returns to it
 * when it sees calls of one size only.
 */
public final class LinearCostModel implements CostModel {

  private static final double DECAY = 0.98;
  private static final double PRIOR_WEIGHT = 1.0;
  private static final double MIN_SPREAD = 1e-9;

  private final CostPrior prior;
  private final double priorUnits;
  private double weight;
  private double sumX;
  private double sumY;
  private double sumXx;
  private double sumXy;

  private LinearCostModel(CostPrior prior, double priorUnits) {
    this.prior = prior;
    this.priorUnits = priorUnits;
  }

  /**
   * Returns a model that has seen no call.
   *
   * @param prior the configured prior, not null
   * @param priorUnits amount of the driver at which the prior was stated, positive
   * @return the model
   */
  public static LinearCostModel create(CostPrior prior, double priorUnits) {
    return new LinearCostModel(prior, priorUnits);
  }

  @Override
  public double predictMillis(double units) {
    double y0 = prior.baseMillis();
    double y1 = prior.baseMillis() + prior.perUnitMillis() * priorUnits;
    double w = weight + 2 * PRIOR_WEIGHT;
    double x = sumX + PRIOR_WEIGHT * priorUnits;
    double y = sumY + PRIOR_WEIGHT * (y0 + y1);
    double xx = sumXx + PRIOR_WEIGHT * priorUnits * priorUnits;
    double xy = sumXy + PRIOR_WEIGHT * priorUnits * y1;
    double spread = w * xx - x * x;
    if (spread < MIN_SPREAD) {
      return Math.max(0, y / w);
    }
    double slope = Math.max(0, (w * xy - x * y) / spread);
    double base = (y - slope * x) / w;
    return Math.max(0, base + slope * units);
  }

  @Override
  public void observe(double units, double millis) {
    weight = weight * DECAY + 1;
    sumX = sumX * DECAY + units;
    sumY = sumY * DECAY + millis;
    sumXx = sumXx * DECAY + units * units;
    sumXy = sumXy * DECAY + units * millis;
  }
}
