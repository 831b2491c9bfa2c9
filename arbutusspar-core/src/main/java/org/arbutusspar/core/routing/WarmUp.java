package org.arbutusspar.core.routing;

import org.apache.commons.lang3.Validate;

/**
 * Warm-up of the replicas of a service. Immutable.
 *
 * @param millis time for which a replica is cold after its start, in milliseconds
 * @param perSecond number of requests a second that a cold replica takes from all instances
 *     together
 */
public record WarmUp(long millis, double perSecond) {

  /** Checks the components. */
  public WarmUp {
    Validate.isTrue(millis > 0, "millis must be positive");
    Validate.isTrue(perSecond > 0, "perSecond must be positive");
  }
}
