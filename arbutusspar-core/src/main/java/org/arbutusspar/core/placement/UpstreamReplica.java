package org.arbutusspar.core.placement;

import java.util.Objects;
import org.apache.commons.lang3.Validate;
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
 * @param warmUpMillis time for which it stays cold, as of its entry in the list, in milliseconds; 0
 *     if it is warm
 */
public record UpstreamReplica(
    String id,
    String service,
    Endpoint endpoint,
    DataCentre dataCentre,
    int slots,
    boolean leaving,
    long startedMillis,
    long warmUpMillis) {

  /** Checks the components. */
  public UpstreamReplica {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Validate.isTrue(warmUpMillis >= 0, "warmUpMillis must not be negative");
  }

  /** Creates a warm replica; see the components of this record. */
  public UpstreamReplica(
      String id,
      String service,
      Endpoint endpoint,
      DataCentre dataCentre,
      int slots,
      boolean leaving,
      long startedMillis) {
    this(id, service, endpoint, dataCentre, slots, leaving, startedMillis, 0);
  }

  /** Returns a name of this incarnation, also if a restarted replica has kept its identifier. */
  public String incarnation() {
    return id + "@" + startedMillis;
  }

  /** Returns whether it was cold as of its entry in the list. */
  public boolean isListedCold() {
    return warmUpMillis > 0;
  }

  /** Returns this replica with another time for which it stays cold, in milliseconds. */
  public UpstreamReplica withWarmUp(long newWarmUpMillis) {
    return new UpstreamReplica(
        id, service, endpoint, dataCentre, slots, leaving, startedMillis, newWarmUpMillis);
  }

  /** Returns this replica as one that has announced its shutdown. */
  public UpstreamReplica asLeaving() {
    return new UpstreamReplica(
        id, service, endpoint, dataCentre, slots, true, startedMillis, warmUpMillis);
  }
}
