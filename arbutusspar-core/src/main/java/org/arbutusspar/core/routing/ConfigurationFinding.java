package org.arbutusspar.core.routing;

import java.util.Locale;
import java.util.Objects;

/**
 * Something in a configuration that its author should know before it is in force. Immutable.
 *
 * @param severity how bad it is
 * @param subject the part of the configuration, such as {@code route r}; empty if it is the whole
 * @param message description
 */
public record ConfigurationFinding(Severity severity, String subject, String message) {

  /** Checks the components. */
  public ConfigurationFinding {
    Objects.requireNonNull(severity, "severity");
    Objects.requireNonNull(subject, "subject");
    Objects.requireNonNull(message, "message");
  }

  /** Returns an error. */
  public static ConfigurationFinding error(String subject, String message) {
    return new ConfigurationFinding(Severity.ERROR, subject, message);
  }

  /** Returns a warning. */
  public static ConfigurationFinding warning(String subject, String message) {
    return new ConfigurationFinding(Severity.WARNING, subject, message);
  }

  /** Returns whether it is an error. */
  public boolean isError() {
    return severity == Severity.ERROR;
  }

  /** Returns the finding as {@code severity: subject: message}. */
  @Override
  public String toString() {
    String where = subject.isEmpty() ? "" : subject + ": ";
    return severity.name().toLowerCase(Locale.ROOT) + ": " + where + message;
  }

  /** How bad a finding is. */
  public enum Severity {
    /** Instances reject the configuration, or requests that it should serve always fail. */
    ERROR,
    /** A part has no effect, or limits contradict each other. */
    WARNING
  }
}
