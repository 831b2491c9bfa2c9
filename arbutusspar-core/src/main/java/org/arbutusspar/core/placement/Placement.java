package org.arbutusspar.core.placement;

import java.util.List;
import java.util.Optional;

/** Policy that chooses a replica for a request. */
public interface Placement {

  /**
   * Chooses a replica for a request.
   *
   * @param request properties of the request, not null
   * @param candidates replicas with free capacity, without those that are cooling down unless too
   *     many are, not null
   * @return the chosen candidate, or empty if there is none
   */
  Optional<Candidate> choose(PlacementRequest request, List<Candidate> candidates);

  /**
   * A replica with free capacity for a request.
   *
   * @param replica the replica
   * @param load estimated number of requests in flight at the replica, those of other instances
   *     included
   * @param cost expected time of a request at the replica relative to the other replicas of its
   *     service, increased by its share of failures; above zero
   */
  record Candidate(UpstreamReplica replica, double load, double cost) {}
}
