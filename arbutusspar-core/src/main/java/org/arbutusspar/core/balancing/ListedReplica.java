package org.arbutusspar.core.balancing;

import java.util.Objects;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.ReplicaId;

/**
 * Entry of a replica on the platform's list. The list lags behind the actual state.
 *
 * @param id name of the replica
 * @param service service to which the replica belongs
 * @param endpoint endpoint on which it accepts calls
 * @param dataCentre data centre in which it runs
 * @param leaving whether it is listed as shutting down
 */
public record ListedReplica(
    ReplicaId id, ObjectName service, Endpoint endpoint, DataCentre dataCentre, boolean leaving) {

  /** Checks the components. */
  public ListedReplica {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(dataCentre, "dataCentre");
  }
}
