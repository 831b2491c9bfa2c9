package org.arbutusspar.core.placement;

import java.util.List;
import java.util.Optional;

/** Chooses one of the replicas that can take a request. */
public interface Placement {

  /**
   * Returns the replica for a request.
   *
   * @param request what it is chosen for, not null
   * @param candidates replicas with room, healthy ones only if there are any, not null
   * @return the choice, or empty if there is no candidate
   */
  Optional<Candidate> choose(PlacementRequest request, List<Candidate> candidates);

  /**
   * A replica that can take a request.
   *
   * @param replica the replica
   * @param load requests at the replica, estimated
   * @param cost expected relative time of a request there, above zero
   */
  record Candidate(UpstreamReplica replica, double load, double cost) {}
}
