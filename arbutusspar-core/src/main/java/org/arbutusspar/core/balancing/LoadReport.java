package org.arbutusspar.core.balancing;

import org.apache.commons.lang3.Validate;

/**
 * What a replica says of itself. Reports lag.
 *
 * @param running calls that it is running, from all instances
 * @param waiting calls that it holds in its own queue
 * @param leaving whether it is shutting down and wants no new work
 */
public record LoadReport(int running, int waiting, boolean leaving) {

  /** Checks the components. */
  public LoadReport {
    Validate.isTrue(running >= 0, "running must not be negative");
    Validate.isTrue(waiting >= 0, "waiting must not be negative");
  }
}
