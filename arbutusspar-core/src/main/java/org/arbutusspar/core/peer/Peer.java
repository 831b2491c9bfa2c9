package org.arbutusspar.core.peer;

import java.util.Objects;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;

/**
 * Identity and addresses of an entry instance, as it sends them to its peers. Immutable.
 *
 * @param name name of the instance
 * @param incarnation number of the incarnation, larger for each later start of the process
 * @param dataCentre data centre in which the instance runs
 * @param links endpoint on which it accepts links of its peers
 * @param clients endpoint on which it accepts clients
 * @param capacity processing capacity of its machine, in percent of a core
 */
public record Peer(
    String name,
    long incarnation,
    DataCentre dataCentre,
    Endpoint links,
    Endpoint clients,
    int capacity) {

  /** Checks the components. */
  public Peer {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(links, "links");
    Objects.requireNonNull(clients, "clients");
  }
}
