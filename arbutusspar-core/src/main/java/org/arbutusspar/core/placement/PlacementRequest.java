package org.arbutusspar.core.placement;

import java.util.Objects;
import java.util.Set;

/**
 * Properties of a request by which a replica is chosen.
 *
 * @param service name of the service
 * @param promptKey hash of the prompt parts that are shared with other requests, 0 if there are
 *     none
 * @param excluded identifiers of replicas that must not be chosen
 * @param repeatable whether the request may be sent to another replica after it has run
 * @param tieBreaker random number that breaks ties between replicas
 */
public record PlacementRequest(
    String service, long promptKey, Set<String> excluded, boolean repeatable, long tieBreaker) {

  /** Checks the components and copies the set. */
  public PlacementRequest {
    Objects.requireNonNull(service, "service");
    excluded = Set.copyOf(excluded);
  }
}
