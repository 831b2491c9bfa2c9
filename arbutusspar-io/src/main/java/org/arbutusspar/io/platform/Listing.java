package org.arbutusspar.io.platform;

import java.util.List;
import java.util.Objects;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.InstanceId;

/**
 * What the platform's list says.
 *
 * @param instances entry instances
 * @param replicas replicas of upstream services
 */
public record Listing(List<ListedInstance> instances, List<ListedReplica> replicas) {

  /** A listing that names nobody. */
  public static final Listing EMPTY = new Listing(List.of(), List.of());

  /** Copies the lists. */
  public Listing {
    instances = List.copyOf(instances);
    replicas = List.copyOf(replicas);
  }

  /**
   * An entry instance as the list states it.
   *
   * @param id the instance
   * @param callers where it listens for callers
   * @param links where it listens for fellow instances
   * @param dataCentre where it runs
   */
  public record ListedInstance(
      InstanceId id, Endpoint callers, Endpoint links, DataCentre dataCentre) {

    /** Checks the components. */
    public ListedInstance {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(callers, "callers");
      Objects.requireNonNull(links, "links");
      Objects.requireNonNull(dataCentre, "dataCentre");
    }
  }
}
