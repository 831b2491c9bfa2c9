package org.arbutusspar.core.routing;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * One version of the configuration that an instance serves requests by. Immutable.
 *
 * @param version version number of the configuration, set by the operators
 * @param routes the routes
 * @param services the services by name
 * @param keys API keys of the workspaces
 * @param limits limits on requests and connections of clients
 */
public record ServingState(
    long version,
    RouteTable routes,
    Map<String, ServedService> services,
    KeyRing keys,
    RequestLimits limits) {

  /** Checks the components and copies the map. */
  public ServingState {
    Objects.requireNonNull(routes, "routes");
    Objects.requireNonNull(keys, "keys");
    Objects.requireNonNull(limits, "limits");
    services = Map.copyOf(services);
  }

  /**
   * Returns the limits of a service that computes pieces.
   *
   * @param service name of the service, not null
   * @return the limits, or empty if the service is unknown or computes no pieces
   */
  public Optional<PieceLimits> pieceLimits(String service) {
    return Optional.ofNullable(services.get(service)).flatMap(ServedService::pieces);
  }
}
