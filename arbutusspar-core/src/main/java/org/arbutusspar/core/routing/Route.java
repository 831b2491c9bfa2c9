package org.arbutusspar.core.routing;

import java.util.List;
import java.util.Objects;
import org.apache.commons.lang3.Validate;

/**
 * A route: which requests it matches and how they are served. Immutable.
 *
 * @param name name of the route
 * @param host value of the Host header that it matches
 * @param pathPrefix path prefix that it matches, which begins and ends with a slash
 * @param kind whether its requests may run more than once
 * @param timeoutMillis maximum time that a request waits for its response, in milliseconds
 * @param targetMillis time within which a response counts as in time, in milliseconds
 * @param priority priority rank of its requests, 0 is the most urgent
 * @param services services that serve the requests, chosen by weight
 * @param maxAttempts maximum number of attempts of one request that are sent to a replica
 * @param stages work that is done before each request is sent to its service
 * @param anonymous whether requests need no API key
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

  /** Returns whether a request of this route may run more than once, so that it can be retried. */
  public boolean isRetryable() {
    return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
  }

  /**
   * Selects the service for a request by weight.
   *
   * @param hash hash of the request's identifier, which determines the choice
   * @return the name of the service; the first one if all weights are 0
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
