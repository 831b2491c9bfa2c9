package org.arbutusspar.core.peer;

import java.util.Objects;

/**
 * State of an instance as a hub reports it to instances that have no connection to it.
 *
 * @param name name of the instance
 * @param live whether the hub receives its heartbeats
 * @param ready whether it accepts requests
 * @param leaving whether it is shutting down
 */
public record PeerState(String name, boolean live, boolean ready, boolean leaving) {

  /** Checks the components. */
  public PeerState {
    Objects.requireNonNull(name, "name");
  }
}
