package org.arbutusspar.core.peer;

import java.util.Map;
import java.util.Set;
import org.arbutusspar.core.stage.QueueWait;

/**
 * What an instance tells the others several times a second. Immutable.
 *
 * @param ready whether it takes requests
 * @param leaving whether it shuts down
 * @param configurationOffset offset of the configuration in force there, -1 if there is none
 * @param replicasOffset offset up to which it has read the list of replicas, -1 if it has not
 * @param waits for each service whose pieces it gathers, how long a new piece waits
 * @param roles roles that it has had work in lately
 */
public record PeerStatus(
    boolean ready,
    boolean leaving,
    long configurationOffset,
    long replicasOffset,
    Map<String, QueueWait> waits,
    Set<String> roles) {

  /** State of an instance that has said nothing yet. */
  public static final PeerStatus UNKNOWN = new PeerStatus(false, false, -1, -1, Map.of(), Set.of());

  /** Copies the collections. */
  public PeerStatus {
    waits = Map.copyOf(waits);
    roles = Set.copyOf(roles);
  }
}
