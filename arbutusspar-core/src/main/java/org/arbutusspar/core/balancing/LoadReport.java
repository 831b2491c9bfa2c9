package org.arbutusspar.core.balancing;

import org.apache.commons.lang3.Validate;

/**
 * Load that a replica reports of itself. Reports lag behind the actual load.
 *
 * @param running number of calls that it is running, for all instances
 * @param waiting number of calls in its own queue
 * @param leaving whether it is shutting down and accepts no new calls
 */
public record LoadReport(int running, int waiting, boolean leaving) {

  /** Checks the components. */
  public LoadReport {
    Validate.isTrue(running >= 0, "running must not be negative");
    Validate.isTrue(waiting >= 0, "waiting must not be negative");
  }
}
