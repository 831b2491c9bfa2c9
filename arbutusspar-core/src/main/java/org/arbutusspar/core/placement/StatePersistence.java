package org.arbutusspar.core.placement;

/**
 * How much a stated figure tells about a later moment, by its age. It is learned from figures that
 * followed each other: the weight of a figure is the regression slope of the later deviation from
 * the mean on the earlier one.
 *
 * <p>Load pattern: others on the replicas' machines come and go within less than a second. Who
 * believes a figure for longer avoids replicas that are fast again, and prefers others that no
 * longer are.
 */
final class StatePersistence {

  /** Upper bounds of the age ranges in milliseconds. An older figure has no weight. */
  private static final double[] AGE_BOUNDS = {50, 100, 200, 400, 800, 1_600};

  /** Assumed weights in these ranges before anything is learned. */
  private static final double[] ASSUMED_WEIGHTS = {0.95, 0.85, 0.7, 0.4, 0.1, 0};

  /** Strength of the assumed weights, in squared percent: a few pairs of large deviations. */
  private static final double ASSUMED_STRENGTH = 40_000;

  /** Factor by which what was learned loses strength with each pair in the same range. */
  private static final double RETENTION = 0.995;

  private final double[] products = new double[AGE_BOUNDS.length];
  private final double[] squares = new double[AGE_BOUNDS.length];

  /**
   * Learns from two figures that a replica stated one after the other.
   *
   * @param ageMillis time between them, in milliseconds
   * @param earlier deviation of the earlier figure from the mean, in percent
   * @param later deviation of the later figure
   */
  void onPair(double ageMillis, double earlier, double later) {
    int range = range(ageMillis);
    if (range < AGE_BOUNDS.length) {
      products[range] = RETENTION * products[range] + earlier * later;
      squares[range] = RETENTION * squares[range] + earlier * earlier;
    }
  }

  /**
   * Returns the weight of a figure against the mean.
   *
   * @param ageMillis age of the figure in milliseconds
   * @return the weight from 0 to 1
   */
  double weight(double ageMillis) {
    int range = range(ageMillis);
    if (range == AGE_BOUNDS.length) {
      return 0;
    }
    double learned = products[range] + ASSUMED_STRENGTH * ASSUMED_WEIGHTS[range];
    return Math.min(1, Math.max(0, learned / (squares[range] + ASSUMED_STRENGTH)));
  }

  private static int range(double ageMillis) {
    int range = 0;
    while (range < AGE_BOUNDS.length && ageMillis >= AGE_BOUNDS[range]) {
      range++;
    }
    return range;
  }
}
