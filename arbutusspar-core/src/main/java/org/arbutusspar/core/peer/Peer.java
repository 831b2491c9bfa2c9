package org.arbutusspar.core.peer;

import java.util.Objects;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;

/**
 * An instance as it introduces itself to others. Immutable.
 *
 * @param name name of the instance
 * @param incarnation start of this life of its process; a later life has a larger number
 * @param dataCentre data centre that it runs in
 * @param links where it listens for links
 * @param clients where it listens for clients
 */
public record Peer(
    String name, long incarnation, DataCentre dataCentre, Endpoint links, Endpoint clients) {

  /** Checks the components. */
  public Peer {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(links, "links");
    Objects.requireNonNull(clients, "clients");
  }
}
