package org.arbutusspar.core.balancing;

import java.util.Objects;
import java.util.Set;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.ReplicaId;

/**
 * Properties of a call on which the choice of its replica depends.
 *
 * @param now current monotonic time, in nanoseconds
 * @param predictedMillis predicted duration of the call at an idle replica, in milliseconds
 * @param localDataCentre data centre of this instance
 * @param crossDataCentreMillis round-trip time to a replica in another data centre, in milliseconds
 * @param affinity hash of the workspace and the prompt prefix; 0 if the service has no prompt cache
 * @param excluded replicas that may not be chosen, because other attempts of the same stage used
 *     them
 */
public record SelectionContext(
    long now,
    double predictedMillis,
    DataCentre localDataCentre,
    double crossDataCentreMillis,
    long affinity,
    Set<ReplicaId> excluded) {

  /** Checks the components and copies the set. */
  public SelectionContext {
    Objects.requireNonNull(localDataCentre, "localDataCentre");
    excluded = Set.copyOf(excluded);
  }

  /**
   * Returns whether a replica may be chosen.
   *
   * @param replica the replica, not null
   * @return true if it is eligible for another call and not excluded
   */
  public boolean admits(Replica replica) {
    return replica.isEligible(now) && !excluded.contains(replica.listed().id());
  }

  /**
   * Returns the predicted time until the call ends at a replica, given the load of the replica.
   *
   * @param replica the replica, not null
   * @return the time from now, in milliseconds, including the network delay
   */
  public double finishMillis(Replica replica) {
    double networkMillis =
        replica.listed().dataCentre().equals(localDataCentre) ? 0 : crossDataCentreMillis;
    return predictedMillis * replica.loadFactor(now) + networkMillis;
  }
}
