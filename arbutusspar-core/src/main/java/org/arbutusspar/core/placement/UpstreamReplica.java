package org.arbutusspar.core.placement;

import java.util.Objects;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;

/**
 * An upstream replica as listed by the platform. Immutable.
 *
 * @param id identifier of one incarnation of the replica; a restarted replica mostly has another
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

  /** Returns a name of this incarnation, also if a restarted replica has kept its identifier. */
  public String incarnation() {
    return id + "@" + startedMillis;
  }

  /** Returns this replica as one that has announced its shutdown. */
  public UpstreamReplica asLeaving() {
    return new UpstreamReplica(id, service, endpoint, dataCentre, slots, true, startedMillis);
  }
}
