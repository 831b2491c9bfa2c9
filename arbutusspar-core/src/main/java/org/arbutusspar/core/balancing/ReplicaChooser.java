package org.arbutusspar.core.balancing;

import java.util.List;
import java.util.Optional;

/** Strategy that chooses the replica for a call. */
public interface ReplicaChooser {

  /**
   * Chooses the replica to which a call is sent.
   *
   * @param replicas all replicas of the service that this instance uses, not null
   * @param context properties of the call, not null
   * @return a replica that the context admits, or empty if there is none
   */
  Optional<Replica> choose(List<Replica> replicas, SelectionContext context);
}
