package org.arbutusspar.core.peer;

import java.util.List;

/**
 * Decides which instances are hubs. Each instance keeps a connection to every hub, and the hubs
 * take on the work for the whole deployment, such as batching and reading the store.
 */
public interface Topology {

  /**
   * Returns the hubs.
   *
   * @param ranked instances, the most suitable first, not null
   * @return the first ones of them, in the same order
   */
  List<Peer> hubs(List<Peer> ranked);

  /**
   * Returns the interval at which an instance sends heartbeats.
   *
   * @param instances number of live instances
   * @param hub whether the instance is a hub
   * @return the interval in milliseconds
   */
  long heartbeatMillis(int instances, boolean hub);
}
