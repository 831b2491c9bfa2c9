package org.arbutusspar.core.peer;

import java.util.Map;
import java.util.Set;
import org.arbutusspar.core.stage.QueueWait;

/**
 * Status that an instance sends to its peers in each heartbeat. Immutable.
 *
 * @param ready whether it accepts requests
 * @param leaving whether it is shutting down
 * @param heartbeatMillis interval of its heartbeats in milliseconds
 * @param store its contact with the store and the versions of its tables
 * @param waits expected queue wait of a new piece, by name of each service that it batches
 * @param roles names of the roles that it holds, such as a service whose pieces it batches
 */
public record PeerStatus(
    boolean ready,
    boolean leaving,
    long heartbeatMillis,
    StoreView store,
    Map<String, QueueWait> waits,
    Set<String> roles) {

  /** Status of an instance from which no heartbeat has been received. */
  public static final PeerStatus UNKNOWN =
      new PeerStatus(false, false, 400, StoreView.NONE, Map.of(), Set.of());

  /** Copies the collections. */
  public PeerStatus {
    waits = Map.copyOf(waits);
    roles = Set.copyOf(roles);
  }
}
