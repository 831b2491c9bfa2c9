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
 * Validated settings of the entry daemon.
 *
 * @param instance name of the instance
 * @param dataCentre data centre in which the instance runs
 * @param callerEndpoint endpoint on which it listens for HTTP requests of callers and operators
 * @param linkEndpoint endpoint on which it listens for links from peers
 * @param logUrl base URL of the platform's log
 * @param listUrl base URL of the platform's list
 * @param secret secret that all instances of the deployment share; it authenticates links and signs
 *     request identifiers
 * @param operatorKeySha256 SHA-256 hash of the operators' API key, in lower-case hexadecimal
 * @param leaveMillis time for which a leaving instance still accepts requests, in milliseconds;
 *     callers that cached its address may use it for this time
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

  /** Prefix of the names of the environment variables that hold settings. */
  static final String VARIABLE_PREFIX = "ARBUTUSSPAR_";

  /** Default of {@code leaveMillis}, in milliseconds. */
  static final long DEFAULT_LEAVE_MILLIS = 6_000;

  private static final long MAX_LEAVE_MILLIS = 600_000;

  /** Names of all settings, as the flags have them. */
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
    Objects.requireNonNull(callerEndpoint, "callerEndpoint");
    Objects.requireNonNull(linkEndpoint, "linkEndpoint");
    Objects.requireNonNull(logUrl, "logUrl");
    Objects.requireNonNull(listUrl, "listUrl");
    Objects.requireNonNull(secret, "secret");
    Objects.requireNonNull(operatorKeySha256, "operatorKeySha256");
  }

  /**
   * Reads the settings from flags and environment variables. A flag takes precedence over the
   * variable of the same setting.
   *
   * @param flags values by flag name without the leading hyphens, not null; a null value counts as
   *     an absent flag
   * @param environment values by variable name, not null; unknown variables with the prefix {@link
   *     #VARIABLE_PREFIX} are errors, all others are ignored
   * @return the settings
   * @throws SettingsException if any setting is missing, malformed or unknown; it lists all of them
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

  /**
   * Returns the name of the environment variable for a setting.
   *
   * @param flag name of the setting's flag without the leading hyphens, not null
   * @return the name
   */
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
      // Not a number: fails below with the same message as a number out of range.
    }
    throw new IllegalArgumentException("must be a whole number from 0 to " + MAX_LEAVE_MILLIS);
  }

  /** Reads single settings and collects the problems of all of them. */
  private static final class Reader {
    private final Map<String, String> flags;
    private final Map<String, String> environment;
    private final List<String> problems = new ArrayList<>();

    private Reader(Map<String, String> flags, Map<String, String> environment) {
      this.flags = flags;
      this.environment = environment;
    }

    /** Returns a required setting, or null after adding a problem. */
    private <T> T read(String name, Function<String, T> parse) {
      T value = readOr(name, parse, null);
      boolean present = flags.get(name) != null || environment.get(variableName(name)) != null;
      if (!present) {
        problems.add("--" + name + " or " + variableName(name) + ": is missing");
      }
      return value;
    }

    /** Returns an optional setting, or its default if it is absent or malformed. */
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
