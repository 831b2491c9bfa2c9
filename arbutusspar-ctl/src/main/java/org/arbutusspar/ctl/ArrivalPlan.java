package org.arbutusspar.ctl;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Arrival times with a broadcast's shape: a quiet spell, then a sudden rise that decays. Arrivals
 * do not wait for answers.
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
   * Shape of a load.
   *
   * @param baseRate requests a second before and long after the broadcast
   * @param peakRate requests a second at the broadcast
   * @param broadcastSecond when the broadcast happens
   * @param decaySeconds time in which the rise falls to a third
   * @param endSecond when the load ends
   * @param warmUpSeconds time in which the rate first rises from nothing
   */
  record Shape(
      double baseRate,
      double peakRate,
      double broadcastSecond,
      double decaySeconds,
      double endSecond,
      double warmUpSeconds) {

    /** Returns the rate at a time, in requests a second. */
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

  /** Returns the next arrival in seconds from the start, or a negative number at the end. */
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
