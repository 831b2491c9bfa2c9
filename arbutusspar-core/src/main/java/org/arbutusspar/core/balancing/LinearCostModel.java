package org.arbutusspar.core.balancing;

import org.arbutusspar.core.config.CostPrior;

/**
 * Cost model by linear regression of duration on size, with exponential decay of old calls.
 *
 * <p>The configured prior enters as two constant observations, at size 0 and at a reference size.
 * They do not decay. When all calls have the same size, the regression alone does not determine the
 * slope, and the model returns to that of the prior.
 */
public final class LinearCostModel implements CostModel {

  /** Factor on the weight of earlier calls with each new call. */
  private static final double DECAY_PER_CALL = 0.98;

  /** Weight of each of the two prior observations; a new call has weight 1. */
  private static final double PRIOR_WEIGHT = 1.0;

  /** Determinant of the normal equations below which the mean duration is predicted. */
  private static final double MIN_DETERMINANT = 1e-9;

  private final CostPrior prior;
  private final double priorUnits;
  private double weight;
  private double sumUnits;
  private double sumMillis;
  private double sumUnitsSquared;
  private double sumUnitsTimesMillis;

  private LinearCostModel(CostPrior prior, double priorUnits) {
    this.prior = prior;
    this.priorUnits = priorUnits;
  }

  /**
   * Returns a model without observed calls.
   *
   * @param prior configured base duration and duration per unit, not null
   * @param priorUnits reference size of the prior in units of the cost driver, positive
   * @return the model
   */
  public static LinearCostModel create(CostPrior prior, double priorUnits) {
    return new LinearCostModel(prior, priorUnits);
  }

  @Override
  public double predictMillis(double units) {
    double priorMillisAtZero = prior.baseMillis();
    double priorMillisAtUnits = prior.baseMillis() + prior.perUnitMillis() * priorUnits;
    // Sums over the calls and the two prior observations, with size x and duration y.
    double n = weight + 2 * PRIOR_WEIGHT;
    double x = sumUnits + PRIOR_WEIGHT * priorUnits;
    double y = sumMillis + PRIOR_WEIGHT * (priorMillisAtZero + priorMillisAtUnits);
    double xx = sumUnitsSquared + PRIOR_WEIGHT * priorUnits * priorUnits;
    double xy = sumUnitsTimesMillis + PRIOR_WEIGHT * priorUnits * priorMillisAtUnits;
    double determinant = n * xx - x * x;
    if (determinant < MIN_DETERMINANT) {
      return Math.max(0, y / n);
    }
    double millisPerUnit = Math.max(0, (n * xy - x * y) / determinant);
    double baseMillis = (y - millisPerUnit * x) / n;
    return Math.max(0, baseMillis + millisPerUnit * units);
  }

  @Override
  public void observe(double units, double millis) {
    weight = weight * DECAY_PER_CALL + 1;
    sumUnits = sumUnits * DECAY_PER_CALL + units;
    sumMillis = sumMillis * DECAY_PER_CALL + millis;
    sumUnitsSquared = sumUnitsSquared * DECAY_PER_CALL + units * units;
    sumUnitsTimesMillis = sumUnitsTimesMillis * DECAY_PER_CALL + units * millis;
  }
}
