package org.arbutusspar.core.stage;

/**
 * Learns by how much the stages of a route take longer than forecast.
 *
 * <p>Load pattern: a burst in which what instances tell each other of their queues is always a
 * little old, so that forecasts are too short while the load rises.
 */
public final class ForecastCorrection {

  private static final double SMOOTHING = 0.1;
  private static final double MIN_RATIO = 0.6;
  private static final double MAX_RATIO = 2.0;

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
  public void updateFromFailure(double forecastMillis, double spentMillis) {
    if (spentMillis > apply(forecastMillis)) {
      update(forecastMillis, spentMillis);
    }
  }

  /**
   * Learns from a request whose stages are done.
   *
   * @param forecastMillis the forecast before its correction, positive
   * @param actualMillis the time that the stages took
   */
  public void update(double forecastMillis, double actualMillis) {
    double observed = Math.min(MAX_RATIO, Math.max(MIN_RATIO, actualMillis / forecastMillis));
    factor += SMOOTHING * (observed - factor);
  }
}
