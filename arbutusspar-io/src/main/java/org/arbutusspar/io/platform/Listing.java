package org.arbutusspar.io.platform;

import java.util.List;
import java.util.Objects;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.InstanceId;

/**
 * Content of the platform's list.
 *
 * @param instances the listed entry instances
 * @param replicas the listed replicas of upstream services
 */
public record Listing(List<ListedInstance> instances, List<ListedReplica> replicas) {

  /** A listing without entries. */
  public static final Listing EMPTY = new Listing(List.of(), List.of());

  /** Copies the lists. */
  public Listing {
    instances = List.copyOf(instances);
    replicas = List.copyOf(replicas);
  }

  /**
   * A listed entry instance.
   *
   * @param id id of the instance
   * @param callers endpoint on which it serves callers
   * @param links endpoint on which it accepts links from other instances
   * @param dataCentre data centre in which it runs
   */
  public record ListedInstance(
      InstanceId id, Endpoint callers, Endpoint links, DataCentre dataCentre) {

    /** Checks that no component is null. */
    public ListedInstance {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(callers, "callers");
      Objects.requireNonNull(links, "links");
      Objects.requireNonNull(dataCentre, "dataCentre");
    }
  }
}
