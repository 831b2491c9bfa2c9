package org.arbutusspar.core.routing;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * One version of all that an instance serves. Immutable.
 *
 * @param version the operators' version
 * @param routes the routes
 * @param services the services by name
 * @param keys the workspaces' keys
 * @param limits bounds on what clients send
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
   * Returns the limits of a service that works on pieces.
   *
   * @param service name of the service, not null
   * @return the limits, or empty if the service is unknown or works on no pieces
   */
  public Optional<PieceLimits> pieceLimits(String service) {
    return Optional.ofNullable(services.get(service)).flatMap(ServedService::pieces);
  }
}
