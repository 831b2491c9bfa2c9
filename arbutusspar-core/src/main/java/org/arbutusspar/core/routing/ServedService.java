package org.arbutusspar.core.routing;

import java.util.Objects;
import java.util.Optional;

/**
 * A service as configured. Immutable.
 *
 * @param name name of the service
 * @param maxConnections connections that one replica accepts from all instances together
 * @param pieces limits of a service that works on pieces of stages
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
