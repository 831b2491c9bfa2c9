package org.arbutusspar.core.placement;

import org.arbutusspar.core.Nanos;

/**
 * How long work takes at a replica, as it states in its responses, and a forecast of this for a
 * later moment. Times are monotonic, in nanoseconds; figures are in percent of the usual time.
 */
final class StatedWork {

  private static final double USUAL_PERCENT = 100;

  /** Lowest forecast, which keeps speeds finite. */
  private static final double MIN_PERCENT = 10;

  /** Minimum weight of the newest figure in the mean. */
  private static final double MIN_MEAN_WEIGHT = 0.04;

  /**
   * Time in which the mean comes half as near to the usual figure without new ones, in
   * milliseconds, so that a replica which was slow and gets no work is tried again.
   */
  private static final double MEAN_HALF_LIFE_MILLIS = 4_000;

  /** Number of usual figures with which the mean starts. */
  private static final int ASSUMED_FIGURES = 4;

  private double meanPercent = USUAL_PERCENT;

  /** Number of figures in the mean. */
  private int figures = ASSUMED_FIGURES;

  private double lastPercent = USUAL_PERCENT;
  private long statedAt;

  /**
   * Records a figure.
   *
   * @param percent the figure
   * @param persistence trained by how the figure relates to the one before it
   * @param now current time
   */
  void onStated(double percent, StatePersistence persistence, long now) {
    if (figures > ASSUMED_FIGURES) {
      persistence.onPair(
          Nanos.toMillis(now - statedAt), lastPercent - meanPercent, percent - meanPercent);
    }
    figures++;
    meanPercent += Math.max(MIN_MEAN_WEIGHT, 1.0 / figures) * (percent - meanPercent);
    lastPercent = percent;
    statedAt = now;
  }

  /**
   * Returns the expected figure: the last one shortly after it was stated, and the mean once its
   * age makes it worthless.
   */
  double forecast(StatePersistence persistence, long now) {
    double ageMillis = Nanos.toMillis(now - statedAt);
    double weight = persistence.weight(ageMillis);
    double kept = Math.pow(0.5, ageMillis / MEAN_HALF_LIFE_MILLIS);
    double mean = USUAL_PERCENT + kept * (meanPercent - USUAL_PERCENT);
    return Math.max(MIN_PERCENT, mean + weight * (lastPercent - mean));
  }
}
