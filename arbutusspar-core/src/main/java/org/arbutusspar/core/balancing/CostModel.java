package org.arbutusspar.core.balancing;

/**
 * Predicts the duration of calls to a service from the size of their input. The size is counted in
 * units of the cost driver of the service, such as characters, documents or tokens.
 */
public interface CostModel {

  /**
   * Returns the predicted duration of a call.
   *
   * @param units size of the call in units of the cost driver, not negative
   * @return the duration at an idle replica, in milliseconds
   */
  double predictMillis(double units);

  /**
   * Updates the model with the measured duration of a call.
   *
   * @param units size of the call in units of the cost driver
   * @param millis duration of the call, in milliseconds
   */
  void observe(double units, double millis);
}
