package org.arbutusspar.core.stage;

/**
 * Learns by how much the stages of a route take longer than forecast.
 *
 * <p>Load pattern: a burst in which what instances tell each other of their queues is always a
 * little old, so that forecasts are too short while the load rises.
 */
public final class ForecastCorrection {

  private static final double WEIGHT = 0.1;
  private static final double LEAST = 0.6;
  private static final double MOST = 2.0;

  private double factor = 1;

  private ForecastCorrection() {}

  /** Returns a correction that has learned nothing. */
  public static ForecastCorrection create() {
    return new ForecastCorrection();
  }

  /** Returns a forecast that has been corrected by what was learned. */
  public double apply(double forecastMillis) {
    return forecastMillis * factor;
  }

  /**
   * Learns from a request whose stages failed: they would have taken longer than they had.
   *
   * @param forecastMillis the forecast before its correction, positive
   * @param spentMillis the time that had passed
   */
  public void learnFailed(double forecastMillis, double spentMillis) {
    if (spentMillis > apply(forecastMillis)) {
      learn(forecastMillis, spentMillis);
    }
  }

  /**
   * Learns from a request whose stages are done.
   *
   * @param forecastMillis the forecast before its correction, positive
   * @param actualMillis the time that the stages took
   */
  public void learn(double forecastMillis, double actualMillis) {
    double observed = Math.min(MOST, Math.max(LEAST, actualMillis / forecastMillis));
    factor += WEIGHT * (observed - factor);
  }
}
