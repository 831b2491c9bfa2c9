package org.arbutusspar.core.routing;

import java.util.Objects;
import java.util.Optional;

/**
 * Configuration of a service. Immutable.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections of one replica from all instances together
 * @param pieces limits for computing pieces of stages; empty if the service computes none
 * @param engine capacity of its replicas if these are model engines, empty otherwise
 * @param warmUp warm-up of its replicas; empty if they are never cold
 */
public record ServedService(
    String name,
    int maxConnections,
    Optional<PieceLimits> pieces,
    Optional<EngineLimits> engine,
    Optional<WarmUp> warmUp) {

  /** Checks the components. */
  public ServedService {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(pieces, "pieces");
    Objects.requireNonNull(engine, "engine");
    Objects.requireNonNull(warmUp, "warmUp");
  }

  /** Returns whether its replicas are model engines. */
  public boolean modelEngine() {
    return engine.isPresent();
  }
}
