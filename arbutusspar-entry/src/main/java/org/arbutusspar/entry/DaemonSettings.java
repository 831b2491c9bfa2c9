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
    Endpoint callerEndpoint,
    Endpoint linkEndpoint,
    URI logUrl,
    URI listUrl,
    LinkSecret secret,
    String operatorKeySha256,
    long leaveMillis) {

  /** Beginning of the names of environment variables. */
  static final String VARIABLE_PREFIX = "ARBUTUSSPAR_";

  /** Time that a leaving instance still accepts requests, if nothing else is set. */
  static final long DEFAULT_LEAVE_MILLIS = 6_000;

  private static final long MAX_LEAVE_MILLIS = 600_000;
  private static final Set<String> SETTING_NAMES =
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
    Objects.requireNonNull(callerEndpoint, "callers");
    Objects.requireNonNull(linkEndpoint, "links");
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
    Endpoint callerEndpoint = reader.read("listen", Endpoint::parse);
    Endpoint linkEndpoint = reader.read("links", Endpoint::parse);
    final URI logUrl = reader.read("log-url", DaemonSettings::parseUrl);
    final URI listUrl = reader.read("list-url", DaemonSettings::parseUrl);
    final LinkSecret secret = reader.read("secret", LinkSecret::of);
    final String operatorKeySha256 =
        reader.read("operator-key-sha256", DaemonSettings::parseSha256);
    final Long leaveMillis =
        reader.readOr("leave-ms", DaemonSettings::parseLeaveMillis, DEFAULT_LEAVE_MILLIS);
    reader.reportUnknownVariables();
    if (callerEndpoint != null && callerEndpoint.equals(linkEndpoint)) {
      reader.problems.add("--links: must differ from --listen");
    }
    if (!reader.problems.isEmpty()) {
      throw new SettingsException(reader.problems);
    }
    return new DaemonSettings(
        instance,
        dataCentre,
        callerEndpoint,
        linkEndpoint,
        logUrl,
        listUrl,
        secret,
        operatorKeySha256,
        leaveMillis);
  }

  /** Returns the name of the environment variable for a flag. */
  static String variableName(String flag) {
    return VARIABLE_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
  }

  private static URI parseUrl(String text) {
    URI uri = URI.create(text);
    boolean valid = "http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0;
    if (!valid) {
      throw new IllegalArgumentException("must have the form http://IP:PORT");
    }
    return uri;
  }

  private static String parseSha256(String text) {
    if (!text.matches("[0-9a-f]{64}")) {
      throw new IllegalArgumentException("must be 64 lower-case hexadecimal digits");
    }
    return text;
  }

  private static Long parseLeaveMillis(String text) {
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
      boolean present = flags.get(name) != null || environment.get(variableName(name)) != null;
      if (!present) {
        problems.add("--" + name + " or " + variableName(name) + ": is missing");
      }
      return value;
    }

    private <T> T readOr(String name, Function<String, T> parse, T defaultValue) {
      boolean isFlag = flags.get(name) != null;
      String text = isFlag ? flags.get(name) : environment.get(variableName(name));
      if (text == null) {
        return defaultValue;
      }
      try {
        return parse.apply(text);
      } catch (IllegalArgumentException e) {
        problems.add((isFlag ? "--" + name : variableName(name)) + ": " + e.getMessage());
        return defaultValue;
      }
    }

    private void reportUnknownVariables() {
      Set<String> knownVariables = new HashSet<>();
      SETTING_NAMES.forEach(name -> knownVariables.add(variableName(name)));
      environment.keySet().stream()
          .filter(name -> name.startsWith(VARIABLE_PREFIX) && !knownVariables.contains(name))
          .sorted()
          .forEach(name -> problems.add(name + ": unknown setting"));
    }
  }
}
