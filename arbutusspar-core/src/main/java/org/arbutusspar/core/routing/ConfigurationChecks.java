package org.arbutusspar.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Checks of a configuration whose parts are valid by themselves: entries that can never take
 * effect, missing services, and limits that contradict each other.
 */
public final class ConfigurationChecks {

  /** Characters that a path in a request line cannot contain. */
  private static final Pattern NOT_IN_PATHS = Pattern.compile("[^\\x21-\\x7e]|[?#]");

  private final RouteTable table;
  private final Map<String, ServedService> services;
  private final List<ConfigurationFinding> findings = new ArrayList<>();

  private ConfigurationChecks(RouteTable table, Map<String, ServedService> services) {
    this.table = table;
    this.services = services;
  }

  /**
   * Checks a configuration.
   *
   * @param routes the routes, in the order of the configuration, not null
   * @param services the services by name, not null
   * @param limits limits on requests and connections of clients, not null
   * @return the findings, in the order of the configuration
   */
  public static List<ConfigurationFinding> check(
      Collection<Route> routes, Map<String, ServedService> services, RequestLimits limits) {
    ConfigurationChecks checks = new ConfigurationChecks(RouteTable.of(routes), services);
    checks.checkNames(routes);
    routes.forEach(checks::checkRoute);
    checks.checkUnusedServices(routes);
    checks.checkLimits(limits);
    return List.copyOf(checks.findings);
  }

  private void error(String subject, String message) {
    findings.add(ConfigurationFinding.error(subject, message));
  }

  private void warn(String subject, String message) {
    findings.add(ConfigurationFinding.warning(subject, message));
  }

  private void checkNames(Collection<Route> routes) {
    Set<String> names = new HashSet<>();
    for (Route route : routes) {
      if (!names.add(route.name())) {
        warn(subject(route), "another route has this name, so logs do not tell them apart");
      }
    }
  }

  private static String subject(Route route) {
    return "route " + route.name();
  }

  private void checkRoute(Route route) {
    checkMatch(route);
    checkServices(route);
    checkTimes(route);
    for (int i = 0; i < route.stages().size(); i++) {
      checkStage(route, i);
    }
    if (route.stages().stream().allMatch(stage -> pieces(stage.service()).isPresent())) {
      checkStageTimes(route);
    }
  }

  private void checkMatch(Route route) {
    if (route.host().isBlank()) {
      error(subject(route), "has no host, so that it matches no request");
      return;
    }
    if (NOT_IN_PATHS.matcher(route.pathPrefix()).find()) {
      error(subject(route), "no path can begin with " + route.pathPrefix());
      return;
    }
    Optional<Route> found = table.find(route.host(), route.pathPrefix());
    if (found.isPresent() && found.get() != route) {
      error(
          subject(route),
          "matches no request: route "
              + found.get().name()
              + " has the same host and path prefix, and comes later");
    }
  }

  private void checkServices(Route route) {
    int total = route.services().stream().mapToInt(WeightedService::weight).sum();
    for (WeightedService each : route.services()) {
      if (each.service().isBlank()) {
        error(subject(route), "names no service");
      } else if (!services.containsKey(each.service())) {
        error(subject(route), "service " + each.service() + " is not configured");
      }
      boolean neverChosen = each.weight() == 0 && (total > 0 || isNotFirst(route, each));
      if (neverChosen) {
        warn(subject(route), "service " + each.service() + " has weight 0 and gets no requests");
      }
    }
  }

  private static boolean isNotFirst(Route route, WeightedService service) {
    return route.services().get(0) != service;
  }

  private void checkTimes(Route route) {
    if (route.targetMillis() > route.timeoutMillis()) {
      warn(
          subject(route),
          String.format(
              Locale.ROOT,
              "target latency of %d ms is longer than the timeout of %d ms",
              route.targetMillis(),
              route.timeoutMillis()));
    }
    if (route.targetMillis() <= 0) {
      warn(subject(route), "target latency is not positive, so that each response is late");
    }
  }

  private void checkStage(Route route, int index) {
    RouteStage stage = route.stages().get(index);
    String subject = subject(route) + ", stage " + index;
    for (int predecessor : stage.after()) {
      if (predecessor < 0 || predecessor >= index) {
        error(subject, "reads the results of stage " + predecessor + ", which does not precede it");
      }
    }
    if (!services.containsKey(stage.service())) {
      error(subject, "service " + stage.service() + " is not configured");
      return;
    }
    Optional<PieceLimits> limits = pieces(stage.service());
    if (limits.isEmpty()) {
      error(subject, "service " + stage.service() + " computes no pieces");
    } else if (stage.resultBytes() > limits.get().resultMemoryBytes()) {
      error(
          subject,
          String.format(
              Locale.ROOT,
              "a result of %d bytes does not fit into the result memory of %d bytes",
              stage.resultBytes(),
              limits.get().resultMemoryBytes()));
    }
  }

  private Optional<PieceLimits> pieces(String service) {
    return Optional.ofNullable(services.get(service)).flatMap(ServedService::pieces);
  }

  /** Compares the least time of the stages, with one piece in each call, with the route's times. */
  private void checkStageTimes(Route route) {
    double[] endMillis = new double[route.stages().size()];
    double longest = 0;
    for (int i = 0; i < endMillis.length; i++) {
      RouteStage stage = route.stages().get(i);
      double start = 0;
      for (int predecessor : stage.after()) {
        boolean precedes = predecessor >= 0 && predecessor < i;
        start = Math.max(start, precedes ? endMillis[predecessor] : 0);
      }
      endMillis[i] = start + pieces(stage.service()).orElseThrow().millis(1);
      longest = Math.max(longest, endMillis[i]);
    }
    if (longest >= route.timeoutMillis()) {
      error(
          subject(route),
          String.format(
              Locale.ROOT,
              "stages take %.0f ms at least, the timeout is %d ms",
              longest,
              route.timeoutMillis()));
    } else if (longest >= route.targetMillis() && route.targetMillis() > 0) {
      warn(
          subject(route),
          String.format(
              Locale.ROOT,
              "stages take %.0f ms at least, the target latency is %d ms",
              longest,
              route.targetMillis()));
    }
  }

  private void checkUnusedServices(Collection<Route> routes) {
    Set<String> used = new HashSet<>();
    for (Route route : routes) {
      route.services().forEach(each -> used.add(each.service()));
      route.stages().forEach(stage -> used.add(stage.service()));
    }
    services.keySet().stream()
        .filter(name -> !used.contains(name))
        .sorted()
        .forEach(name -> warn("service " + name, "no route or stage uses it"));
  }

  private void checkLimits(RequestLimits limits) {
    if (limits.headerBytes() <= 0) {
      error("limits", "the maximum size of a header is not positive");
    }
    if (limits.bodyBytes() < 0) {
      error("limits", "the maximum size of a body is negative");
    }
    if (limits.headerMillis() <= 0 || limits.idleMillis() <= 0) {
      error("limits", "the time for headers or the idle time is not positive");
    }
    if (limits.headerMillis() > limits.idleMillis()) {
      warn(
          "limits",
          String.format(
              Locale.ROOT,
              "header timeout of %d ms is longer than the idle timeout of %d ms",
              limits.headerMillis(),
              limits.idleMillis()));
    }
  }
}
