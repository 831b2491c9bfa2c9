package org.arbutusspar.core.routing;

import java.util.List;
import java.util.Objects;
import org.apache.commons.lang3.Validate;

/**
 * A route: which requests it takes and how they are served. Immutable.
 *
 * @param name name of the route
 * @param host value of the Host header
 * @param pathPrefix prefix of the path, which begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a request is kept waiting
 * @param targetMillis time within which an answer counts as in time
 * @param priority rank among routes, 0 is the most urgent
 * @param services services that take the requests, by weight
 * @param maxAttempts most replicas that one attempt of a client is sent to
 * @param stages work that precedes each request
 * @param anonymous whether requests need no key
 * @param resumable whether a broken stream may be continued at another replica
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    long timeoutMillis,
    long targetMillis,
    int priority,
    List<WeightedService> services,
    int maxAttempts,
    List<RouteStage> stages,
    boolean anonymous,
    boolean resumable) {

  /** Checks the components and copies the lists. */
  public Route {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(kind, "kind");
    Validate.isTrue(
        pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
        "path prefix of route %s must begin and end with a slash",
        name);
    Validate.isTrue(timeoutMillis > 0, "timeout of route %s must be positive", name);
    Validate.isTrue(maxAttempts > 0, "attempts of route %s must be positive", name);
    services = List.copyOf(services);
    stages = List.copyOf(stages);
    Validate.isTrue(!services.isEmpty(), "route %s names no service", name);
  }

  /** Returns whether a request of this route may run more than once. */
  public boolean isRetryable() {
    return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
  }

  /**
   * Returns the service for a request.
   *
   * @param hash hash of the request's identifier
   * @return the service that the hash selects by weight
   */
  public String service(long hash) {
    int total = services.stream().mapToInt(WeightedService::weight).sum();
    if (total <= 0) {
      return services.get(0).service();
    }
    long point = Long.remainderUnsigned(hash, total);
    for (WeightedService each : services) {
      point -= each.weight();
      if (point < 0) {
        return each.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
