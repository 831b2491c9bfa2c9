package org.arbutusspar.core.balancing;

import java.util.Objects;
import java.util.Set;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.ReplicaId;

/**
 * What is known of a call when its replica is chosen.
 *
 * @param now the time
 * @param predictedMillis predicted duration at an idle replica
 * @param localDataCentre data centre of the instance
 * @param crossDataCentreMillis round trip to another data centre
 * @param affinity hash of the prompt's beginning; equal prompts have equal hashes
 * @param excluded replicas that other attempts of the same stage have used
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
    Objects.requireNonNull(localDataCentre, "local");
    excluded = Set.copyOf(excluded);
  }

  /**
   * Returns whether a replica may be chosen.
   *
   * @param replica the replica, not null
   * @return true if it may get one more call and is not to be avoided
   */
  public boolean admits(Replica replica) {
    return replica.isEligible(now) && !excluded.contains(replica.listed().id());
  }

  /**
   * Returns when the call is predicted to end at a replica.
   *
   * @param replica the replica, not null
   * @return milliseconds from now
   */
  public double finishMillis(Replica replica) {
    double networkMillis =
        replica.listed().dataCentre().equals(localDataCentre) ? 0 : crossDataCentreMillis;
    return predictedMillis * replica.loadFactor(now) + networkMillis;
  }
}
