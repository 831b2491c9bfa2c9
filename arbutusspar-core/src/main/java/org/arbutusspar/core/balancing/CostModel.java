package org.arbutusspar.core.balancing;

/** Predicts how long a call to a service takes from the amount of the service's driver. */
public interface CostModel {

  /**
   * Returns the predicted duration of a call.
   *
   * @param units amount of the driver, not negative
   * @return milliseconds
   */
  double predictMillis(double units);

  /**
   * Learns from a call that has ended.
   *
   * @param units amount of the driver
   * @param millis how long the call took, in milliseconds
   */
  void observe(double units, double millis);
}
