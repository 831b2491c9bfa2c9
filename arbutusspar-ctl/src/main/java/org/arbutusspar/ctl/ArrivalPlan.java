package org.arbutusspar.ctl;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Arrival times with a broadcast's shape: a quiet spell, then a sudden rise that decays. Arrivals
 * do not wait for answers.
 */
final class ArrivalPlan {

  private final Shape shape;
  private final UniformRandomProvider random;
  private double seconds;

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
   * @param quietRate requests a second before and long after the broadcast
   * @param peakRate requests a second at the broadcast
   * @param broadcastSecond when the broadcast happens
   * @param decaySeconds time in which the rise falls to a third
   * @param endSecond when the load ends
   * @param warmUpSeconds time in which the rate first rises from nothing
   */
  record Shape(
      double quietRate,
      double peakRate,
      double broadcastSecond,
      double decaySeconds,
      double endSecond,
      double warmUpSeconds) {

    /** Returns the rate at a time, in requests a second. */
    double rate(double second) {
      if (second < warmUpSeconds) {
        return quietRate * second / warmUpSeconds;
      }
      if (second < broadcastSecond) {
        return quietRate;
      }
      double age = (second - broadcastSecond) / decaySeconds;
      return quietRate + (peakRate - quietRate) * Math.exp(-age);
    }

    private double maxRate() {
      return Math.max(quietRate, peakRate);
    }
  }

  /** Returns the next arrival in seconds from the start, or a negative number at the end. */
  double next() {
    while (seconds < shape.endSecond()) {
      seconds -= Math.log(1 - random.nextDouble()) / shape.maxRate();
      boolean kept = random.nextDouble() * shape.maxRate() <= shape.rate(seconds);
      if (kept && seconds < shape.endSecond()) {
        return seconds;
      }
    }
    return -1;
  }
}
