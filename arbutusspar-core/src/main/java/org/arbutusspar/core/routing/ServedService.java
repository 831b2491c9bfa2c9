package org.arbutusspar.core.routing;

import java.util.Objects;
import java.util.Optional;

/**
 * Configuration of a service. Immutable.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections of one replica from all instances together
 * @param pieces limits for computing pieces of stages; empty if the service computes none
 * @param modelEngine whether its replicas are model engines
 */
public record ServedService(
    String name, int maxConnections, Optional<PieceLimits> pieces, boolean modelEngine) {

  /** Checks the components. */
  public ServedService {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(pieces, "pieces");
  }
}
