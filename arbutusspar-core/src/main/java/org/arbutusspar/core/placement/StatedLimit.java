package org.arbutusspar.core.placement;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * Limit on the request rate that a replica stated in a response, as instances pass it on to each
 * other.
 *
 * @param incarnation name of the incarnation of the replica
 * @param perSecond requests a second from all instances together; empty if the replica no longer
 *     states a limit
 * @param statedAt monotonic time of the response, in nanoseconds
 */
public record StatedLimit(String incarnation, OptionalDouble perSecond, long statedAt) {

  /** Checks the components. */
  public StatedLimit {
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(perSecond, "perSecond");
  }
}
