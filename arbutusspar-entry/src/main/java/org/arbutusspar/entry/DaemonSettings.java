package org.arbutusspar.entry;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.InstanceId;
import org.arbutusspar.io.link.LinkSecret;

/**
 * Checked settings of the daemon.
 *
 * @param instance name of the instance
 * @param dataCentre where it runs
 * @param callers where it listens for callers and operators
 * @param links where it listens for fellow instances
 * @param logUrl address of the platform's log
 * @param listUrl address of the platform's list
 * @param secret secret that all instances of the deployment share
 * @param operatorKeySha256 SHA-256 of the operators' key, in lower-case hexadecimal
 * @param leaveMillis how long a leaving instance still accepts requests
 */
public record DaemonSettings(
    InstanceId instance,
    DataCentre dataCentre,
    Endpoint callers,
    Endpoint links,
    URI logUrl,
    URI listUrl,
    LinkSecret secret,
    String operatorKeySha256,
    long leaveMillis) {

  /** Beginning of the names of environment variables. */
  static final String ENV_PREFIX = "ARBUTUSSPAR_";

  /** Time that a leaving instance still accepts requests, if nothing else is set. */
  static final long DEFAULT_LEAVE_MILLIS = 6_000;

  private static final long MAX_LEAVE_MILLIS = 600_000;
  private static final Set<String> NAMES =
      Set.of(
          "instance",
          "data-centre",
          "listen",
          "links",
          "log-url",
          "list-url",
          "secret",
          "operator-key-sha256",
          "leave-ms");

  /** Checks the components. */
  public DaemonSettings {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(callers, "callers");
    Objects.requireNonNull(links, "links");
    Objects.requireNonNull(logUrl, "logUrl");
    Objects.requireNonNull(listUrl, "listUrl");
    Objects.requireNonNull(secret, "secret");
    Objects.requireNonNull(operatorKeySha256, "operatorKeySha256");
  }

  /**
   * Returns the settings that flags and environment variables state; a flag wins.
   *
   * @param flags values of flags by name without the leading hyphens, not null
   * @param environment environment variables, not null
   * @return the settings
   * @throws SettingsException if any is missing or malformed; it names all of them
   */
  public static DaemonSettings parse(Map<String, String> flags, Map<String, String> environment)
      throws SettingsException {
    Reader reader = new Reader(flags, environment);
    final InstanceId instance = reader.read("instance", InstanceId::of);
    final DataCentre dataCentre = reader.read("data-centre", DataCentre::of);
    Endpoint callers = reader.read("listen", Endpoint::parse);
    Endpoint links = reader.read("links", Endpoint::parse);
    final URI log = reader.read("log-url", DaemonSettings::url);
    final URI list = reader.read("list-url", DaemonSettings::url);
    final LinkSecret secret = reader.read("secret", LinkSecret::of);
    final String key = reader.read("operator-key-sha256", DaemonSettings::hash);
    final Long leave = reader.readOr("leave-ms", DaemonSettings::leaveMillis, DEFAULT_LEAVE_MILLIS);
    reader.reportUnknownVariables();
    if (callers != null && callers.equals(links)) {
      reader.problems.add("--links: must differ from --listen");
    }
    if (!reader.problems.isEmpty()) {
      throw new SettingsException(reader.problems);
    }
    return new DaemonSettings(instance, dataCentre, callers, links, log, list, secret, key, leave);
  }

  /** Returns the name of the environment variable for a flag. */
  static String variable(String flag) {
    return ENV_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
  }

  private static URI url(String text) {
    URI uri = URI.create(text);
    boolean usable = "http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0;
    if (!usable) {
      throw new IllegalArgumentException("must have the form http://IP:PORT");
    }
    return uri;
  }

  private static String hash(String text) {
    if (!text.matches("[0-9a-f]{64}")) {
      throw new IllegalArgumentException("must be 64 lower-case hexadecimal digits");
    }
    return text;
  }

  private static Long leaveMillis(String text) {
    try {
      long millis = Long.parseLong(text);
      if (millis >= 0 && millis <= MAX_LEAVE_MILLIS) {
        return millis;
      }
    } catch (NumberFormatException e) {
      // Reported below like a number out of range.
    }
    throw new IllegalArgumentException("must be a whole number from 0 to " + MAX_LEAVE_MILLIS);
  }

  /** Reads settings and gathers all mistakes. */
  private static final class Reader {
    private final Map<String, String> flags;
    private final Map<String, String> environment;
    private final List<String> problems = new ArrayList<>();

    private Reader(Map<String, String> flags, Map<String, String> environment) {
      this.flags = flags;
      this.environment = environment;
    }

    private <T> T read(String name, Function<String, T> parse) {
      T value = readOr(name, parse, null);
      boolean given = flags.get(name) != null || environment.get(variable(name)) != null;
      if (!given) {
        problems.add("--" + name + " or " + variable(name) + ": is missing");
      }
      return value;
    }

    private <T> T readOr(String name, Function<String, T> parse, T fallback) {
      boolean byFlag = flags.get(name) != null;
      String text = byFlag ? flags.get(name) : environment.get(variable(name));
      if (text == null) {
        return fallback;
      }
      try {
        return parse.apply(text);
      } catch (IllegalArgumentException e) {
        problems.add((byFlag ? "--" + name : variable(name)) + ": " + e.getMessage());
        return fallback;
      }
    }

    private void reportUnknownVariables() {
      Set<String> known = new HashSet<>();
      NAMES.forEach(name -> known.add(variable(name)));
      environment.keySet().stream()
          .filter(name -> name.startsWith(ENV_PREFIX) && !known.contains(name))
          .sorted()
          .forEach(name -> problems.add(name + ": unknown setting"));
    }
  }
}
