package org.arbutusspar.core.placement;

import java.util.Objects;
import java.util.Set;

/**
 * What a replica is chosen for.
 *
 * @param service name of the service
 * @param promptKey hash of the prompt parts that are shared with other requests, 0 if there are
 *     none
 * @param excluded identifiers of replicas that the request must not go to
 * @param tieBreaker random number that breaks ties
 */
public record PlacementRequest(
    String service, long promptKey, Set<String> excluded, long tieBreaker) {

  /** Checks the components and copies the set. */
  public PlacementRequest {
    Objects.requireNonNull(service, "service");
    excluded = Set.copyOf(excluded);
  }
}
