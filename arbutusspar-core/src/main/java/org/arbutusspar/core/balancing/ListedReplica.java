package org.arbutusspar.core.balancing;

import java.util.Objects;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.ReplicaId;

/**
 * A replica as the platform's list states it. The list lags.
 *
 * @param id the replica
 * @param service the service that it belongs to
 * @param endpoint where it listens
 * @param dataCentre where it runs
 * @param leaving whether it is about to go
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
