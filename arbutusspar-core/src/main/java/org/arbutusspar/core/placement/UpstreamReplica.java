package org.arbutusspar.core.placement;

import java.util.Objects;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;

/**
 * A replica as listed by the platform. Immutable.
 *
 * @param id names one life of the replica
 * @param service service that it belongs to
 * @param endpoint where it listens
 * @param dataCentre data centre that it runs in
 * @param slots requests that it works on at the same time
 * @param leaving whether it has announced its shutdown
 * @param startedMillis start of this life in Unix milliseconds, 0 if unknown
 */
public record UpstreamReplica(
    String id,
    String service,
    Endpoint endpoint,
    DataCentre dataCentre,
    int slots,
    boolean leaving,
    long startedMillis) {

  /** Checks the components. */
  public UpstreamReplica {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(dataCentre, "dataCentre");
  }
}
