package org.arbutusspar.core.peer;

import java.util.List;

/**
 * A bounded number of hubs.
 *
 * <p>Load pattern: in a full mesh of hundreds of instances, most of the processor time of a small
 * machine goes into heartbeats that it does not need. With hubs, an instance that is none of them
 * has as many connections at any size, and only the hubs, which run on the largest machines, have
 * one to each instance. Up to {@link #MAX_MESH_INSTANCES} instances form a full mesh, which detects
 * failures faster and costs little.
 */
public final class HubTopology implements Topology {

  /** Number of hubs. All of them rarely fail before an instance has replaced the first ones. */
  static final int HUBS = 5;

  /** Maximum number of instances that form a full mesh. */
  static final int MAX_MESH_INSTANCES = 12;

  /** Minimum interval of heartbeats of a hub, in milliseconds. */
  private static final long HUB_HEARTBEAT_MILLIS = 400;

  /**
   * Interval of heartbeats of a hub for each instance, in milliseconds, which bounds the number of
   * heartbeats that a hub sends in a second.
   */
  private static final long HUB_MILLIS_PER_INSTANCE = 2;

  /**
   * Interval of an instance that is no hub, in intervals of a hub. Nobody waits for such an
   * instance, so its failure may be detected later.
   */
  private static final long LEAF_INTERVAL_FACTOR = 3;

  private HubTopology() {}

  /** Returns the topology. */
  public static HubTopology create() {
    return new HubTopology();
  }

  @Override
  public List<Peer> hubs(List<Peer> ranked) {
    return ranked.size() <= MAX_MESH_INSTANCES
        ? List.copyOf(ranked)
        : List.copyOf(ranked.subList(0, HUBS));
  }

  @Override
  public long heartbeatMillis(int instances, boolean hub) {
    if (instances <= MAX_MESH_INSTANCES) {
      return HUB_HEARTBEAT_MILLIS;
    }
    long millis = Math.max(HUB_HEARTBEAT_MILLIS, HUB_MILLIS_PER_INSTANCE * instances);
    return hub ? millis : LEAF_INTERVAL_FACTOR * millis;
  }
}
