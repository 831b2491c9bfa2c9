package org.arbutusspar.ctl;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Random arrival times of an open-loop load: a Poisson process whose rate is constant, jumps to a
 * peak at the broadcast (the event that causes the spike) and then decays exponentially. Arrivals
 * do not wait for responses.
 */
final class ArrivalPlan {

  private final Shape shape;
  private final UniformRandomProvider random;
  private double currentSeconds;

  private ArrivalPlan(Shape shape, UniformRandomProvider random) {
    this.shape = shape;
    this.random = random;
  }

  static ArrivalPlan create(Shape shape, UniformRandomProvider random) {
    return new ArrivalPlan(shape, random);
  }

  /**
   * Request rate over time.
   *
   * @param baseRate requests per second before the broadcast, and the limit of the decay after it
   * @param peakRate requests per second at the broadcast
   * @param broadcastSecond time of the broadcast, in seconds from the start
   * @param decaySeconds time constant of the decay: the excess over the base rate falls to 1/e
   * @param endSecond duration of the load, in seconds
   * @param warmUpSeconds time in which the rate first rises linearly from 0 to the base rate
   */
  record Shape(
      double baseRate,
      double peakRate,
      double broadcastSecond,
      double decaySeconds,
      double endSecond,
      double warmUpSeconds) {

    /**
     * Returns the request rate at a time.
     *
     * @param atSecond seconds from the start of the load
     * @return requests per second
     */
    double rateAt(double atSecond) {
      if (atSecond < warmUpSeconds) {
        return baseRate * atSecond / warmUpSeconds;
      }
      if (atSecond < broadcastSecond) {
        return baseRate;
      }
      double elapsedDecays = (atSecond - broadcastSecond) / decaySeconds;
      return baseRate + (peakRate - baseRate) * Math.exp(-elapsedDecays);
    }

    private double maxRate() {
      return Math.max(baseRate, peakRate);
    }
  }

  /**
   * Draws the next arrival by thinning: candidates arrive at the maximum rate, and each is accepted
   * with the ratio of the current rate to the maximum.
   *
   * @return seconds from the start of the load, or a negative number after the last arrival
   */
  double nextArrivalSeconds() {
    while (currentSeconds < shape.endSecond()) {
      currentSeconds -= Math.log(1 - random.nextDouble()) / shape.maxRate();
      boolean accepted = random.nextDouble() * shape.maxRate() <= shape.rateAt(currentSeconds);
      if (accepted && currentSeconds < shape.endSecond()) {
        return currentSeconds;
      }
    }
    return -1;
  }
}
