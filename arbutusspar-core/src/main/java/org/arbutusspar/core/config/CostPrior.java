package org.arbutusspar.core.config;

import org.apache.commons.lang3.Validate;

/**
 * Configured prior of the cost model of a service: the duration of a call grows linearly with its
 * size, which is counted in units of the cost driver of the service.
 *
 * @param baseMillis duration of a call of size 0, in milliseconds
 * @param perUnitMillis additional duration for each unit of the cost driver, in milliseconds
 * @param pricePerSecond price of a call for each second of its duration, in the currency of the
 *     deployment
 */
public record CostPrior(double baseMillis, double perUnitMillis, double pricePerSecond) {

  /** Checks the components. */
  public CostPrior {
    Validate.isTrue(baseMillis >= 0 && baseMillis <= 600_000, "baseMs must be from 0 to 600000");
    Validate.isTrue(
        perUnitMillis >= 0 && perUnitMillis <= 600_000, "perUnitMs must be from 0 to 600000");
    Validate.isTrue(
        pricePerSecond >= 0 && pricePerSecond <= 1_000_000,
        "pricePerSecond must be from 0 to 1000000");
  }
}
