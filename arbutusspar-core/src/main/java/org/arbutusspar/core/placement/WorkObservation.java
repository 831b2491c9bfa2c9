package org.arbutusspar.core.placement;

import org.apache.commons.lang3.Validate;

/**
 * What the response of a replica shows of its speed. Immutable.
 *
 * @param responseMillis time from sending the request to the start of the response, in milliseconds
 * @param workPercent how long work takes at the replica, as it states in the response, in percent
 *     of the usual time
 */
public record WorkObservation(int responseMillis, int workPercent) {

  /** Checks the components. */
  public WorkObservation {
    Validate.isTrue(responseMillis >= 0, "responseMillis must not be negative");
    Validate.isTrue(workPercent >= 0, "workPercent must not be negative");
  }
}
