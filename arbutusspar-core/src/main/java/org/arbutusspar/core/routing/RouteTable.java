package org.arbutusspar.core.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Table of routes, which finds the route of a request by host and longest path prefix. Immutable.
 */
public final class RouteTable {

  private final Map<String, Map<String, Route>> byHost;
  private final List<Route> routes;

  private RouteTable(Map<String, Map<String, Route>> byHost, List<Route> routes) {
    this.byHost = byHost;
    this.routes = routes;
  }

  /**
   * Returns a table of routes.
   *
   * @param routes the routes, not null
   * @return the table
   */
  public static RouteTable of(Collection<Route> routes) {
    Map<String, Map<String, Route>> byHost = new HashMap<>();
    for (Route route : routes) {
      byHost
          .computeIfAbsent(normalize(route.host()), h -> new HashMap<>())
          .put(route.pathPrefix(), route);
    }
    return new RouteTable(byHost, List.copyOf(routes));
  }

  /**
   * Returns the route of a request.
   *
   * @param host value of the Host header, may include a port, which is ignored, not null
   * @param path path of the request, not decoded, not null
   * @return the route with the longest path prefix, or empty if none matches
   */
  public Optional<Route> find(String host, String path) {
    Map<String, Route> byPrefix = byHost.get(normalize(host));
    if (byPrefix == null) {
      return Optional.empty();
    }
    for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
      Route route = byPrefix.get(path.substring(0, slash + 1));
      if (route != null) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns all routes. */
  public List<Route> routes() {
    return routes;
  }

  private static String normalize(String host) {
    int colon = host.lastIndexOf(':');
    String name = colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
    return name.toLowerCase(Locale.ROOT);
  }
}
