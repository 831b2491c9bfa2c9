package org.arbutusspar.core.config;

import org.apache.commons.lang3.Validate;

/**
 * Prior of a stage's cost model: time grows linearly with the stage's own driver.
 *
 * @param baseMillis time of a call without its driver
 * @param perUnitMillis time for each unit of the driver
 * @param pricePerSecond price of one second of one call, in the deployment's currency
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
