package org.arbutusspar.core.peer;

import java.util.List;

/** Baseline: every instance is a hub, so connections grow with the square of the instances. */
public final class FullMeshTopology implements Topology {

  private static final long HEARTBEAT_MILLIS = 400;

  private FullMeshTopology() {}

  /** Returns the baseline. */
  public static FullMeshTopology create() {
    return new FullMeshTopology();
  }

  @Override
  public List<Peer> hubs(List<Peer> ranked) {
    return List.copyOf(ranked);
  }

  @Override
  public long heartbeatMillis(int instances, boolean hub) {
    return HEARTBEAT_MILLIS;
  }
}
