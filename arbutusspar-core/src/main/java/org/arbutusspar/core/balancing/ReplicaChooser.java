package org.arbutusspar.core.balancing;

import java.util.List;
import java.util.Optional;

/** Chooses the replica for one call. */
public interface ReplicaChooser {

  /**
   * Returns the replica to send a call to.
   *
   * @param pool all known replicas of the service, not null
   * @param context what is known of the call, not null
   * @return an eligible replica, or empty if there is none
   */
  Optional<Replica> choose(List<Replica> pool, SelectionContext context);
}
