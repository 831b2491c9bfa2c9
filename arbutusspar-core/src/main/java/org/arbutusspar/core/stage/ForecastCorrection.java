package org.arbutusspar.core.stage;

/**
 * Corrects forecasts of the time that the stages of a route take, by the smoothed ratio of actual
 * to forecast time of earlier requests.
 *
 * <p>Load pattern: a burst in which the queue waits that instances report to each other are out of
 * date by a short delay, so that forecasts are too short while the load rises.
 */
public final class ForecastCorrection {

  /** Weight of the newest request in the smoothed ratio. */
  private static final double SMOOTHING = 0.1;

  /** Bounds of the ratio of actual to forecast time that one request contributes. */
  private static final double MIN_RATIO = 0.6;

  private static final double MAX_RATIO = 2.0;

  private double factor = 1;

  private ForecastCorrection() {}

  /** Returns a correction that leaves forecasts unchanged until it is updated. */
  public static ForecastCorrection create() {
    return new ForecastCorrection();
  }

  /**
   * Returns the corrected forecast.
   *
   * @param forecastMillis the forecast before its correction, in milliseconds
   * @return the corrected forecast in milliseconds
   */
  public double apply(double forecastMillis) {
    return forecastMillis * factor;
  }

  /**
   * Updates the correction from a request whose stages did not finish. The time spent is a lower
   * bound of the actual time, so it counts only if it exceeds the corrected forecast.
   *
   * @param forecastMillis the forecast before its correction in milliseconds, positive
   * @param spentMillis time from the start of the stages to the failure, in milliseconds
   */
  public void updateFromFailure(double forecastMillis, double spentMillis) {
    if (spentMillis > apply(forecastMillis)) {
      update(forecastMillis, spentMillis);
    }
  }

  /**
   * Updates the correction from a request whose stages are done.
   *
   * @param forecastMillis the forecast before its correction in milliseconds, positive
   * @param actualMillis the time that the stages took, in milliseconds
   */
  public void update(double forecastMillis, double actualMillis) {
    double observed = Math.min(MAX_RATIO, Math.max(MIN_RATIO, actualMillis / forecastMillis));
    factor += SMOOTHING * (observed - factor);
  }
}
