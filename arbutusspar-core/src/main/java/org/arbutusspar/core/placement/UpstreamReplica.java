package org.arbutusspar.core.placement;

import java.util.Objects;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;

/**
 * An upstream replica as listed by the platform. Immutable.
 *
 * @param id identifier of one incarnation of the replica; a restarted replica has another
 * @param service name of the service that it belongs to
 * @param endpoint address and port at which it listens
 * @param dataCentre data centre in which it runs
 * @param slots number of requests that it runs at the same time
 * @param leaving whether it has announced its shutdown
 * @param startedMillis start of the incarnation in Unix milliseconds, 0 if unknown
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
