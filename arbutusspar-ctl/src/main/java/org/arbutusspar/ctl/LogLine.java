package org.arbutusspar.ctl;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Line of an instance's log, which consists of key=value pairs. Immutable.
 *
 * @param instance name of the instance that wrote the line
 * @param time timestamp as written in the line, in ISO 8601 and UTC, so that it sorts as text
 * @param event name of the event
 * @param fields the other keys and values, in the order of the line, without the level
 */
record LogLine(String instance, String time, String event, Map<String, String> fields) {

  private static final Pattern KEY_VALUE_PAIR =
      Pattern.compile("([A-Za-z_]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S*)");

  /** Log collectors may put an instance name before the line, and a number before that name. */
  private static final Pattern COLLECTOR_PREFIX =
      Pattern.compile("^\\s*(?:-?[\\d.]+\\s+)?(\\S+)\\s+time=");

  LogLine {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(time, "time");
    Objects.requireNonNull(event, "event");
    fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
  }

  /**
   * Parses a line.
   *
   * @param text the line, not null
   * @param instance name to use if no collector put one before the line, not null
   * @return the line, or empty if it has no time or no event
   */
  static Optional<LogLine> parse(String text, String instance) {
    Map<String, String> fields = new LinkedHashMap<>();
    Matcher pairs = KEY_VALUE_PAIR.matcher(text);
    while (pairs.find()) {
      fields.put(pairs.group(1), unquote(pairs.group(2)));
    }
    String time = fields.remove("time");
    String event = fields.remove("event");
    fields.remove("level");
    if (time == null || event == null) {
      return Optional.empty();
    }
    Matcher prefix = COLLECTOR_PREFIX.matcher(text);
    String lineInstance = prefix.find() ? prefix.group(1) : instance;
    return Optional.of(new LogLine(lineInstance, time, event, fields));
  }

  private static String unquote(String value) {
    boolean quoted = value.length() >= 2 && value.startsWith("\"") && value.endsWith("\"");
    return quoted ? value.substring(1, value.length() - 1).replace("\\\"", "\"") : value;
  }

  /** Returns the value of a field, or a dash if the line does not have it. */
  String field(String key) {
    return fields.getOrDefault(key, "-");
  }

  /** Returns whether the line has the identifier of a request. */
  boolean belongsTo(String requestId) {
    return requestId.equals(fields.get("id"));
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(time).append(' ').append(instance).append(' ');
    text.append(event);
    fields.forEach((key, value) -> text.append(' ').append(key).append('=').append(value));
    return text.toString();
  }
}
