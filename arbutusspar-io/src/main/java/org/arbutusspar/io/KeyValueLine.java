package org.arbutusspar.io;

import java.util.Objects;

/**
 * Builds a log line of key=value pairs. Values that are empty or contain spaces, quotes, equals
 * signs or characters outside printable ASCII are quoted; long values are truncated.
 */
public final class KeyValueLine {

  private static final int MAX_VALUE_CHARS = 400;

  private final StringBuilder line = new StringBuilder();

  private KeyValueLine() {}

  /**
   * Returns a line whose first pair is the name of an event.
   *
   * @param event the name, not null
   * @return the line
   */
  public static KeyValueLine event(String event) {
    return new KeyValueLine().with("event", event);
  }

  /**
   * Appends a pair.
   *
   * @param key the key, not null
   * @param value the value, quoted if necessary, may be null
   * @return this line
   */
  public KeyValueLine with(String key, Object value) {
    Objects.requireNonNull(key, "key");
    if (!line.isEmpty()) {
      line.append(' ');
    }
    line.append(key).append('=').append(quoted(String.valueOf(value)));
    return this;
  }

  /**
   * Appends pairs that are already formatted.
   *
   * @param pairs pairs in the format of a line, or an empty text, not null
   * @return this line
   */
  public KeyValueLine withPairs(String pairs) {
    if (!pairs.isEmpty()) {
      line.append(' ').append(pairs);
    }
    return this;
  }

  private static String quoted(String value) {
    String text =
        value.length() <= MAX_VALUE_CHARS ? value : value.substring(0, MAX_VALUE_CHARS) + "...";
    boolean plain = !text.isEmpty();
    for (int i = 0; i < text.length() && plain; i++) {
      char c = text.charAt(i);
      plain = c > ' ' && c != '"' && c != '=' && c < 127;
    }
    if (plain) {
      return text;
    }
    StringBuilder quoted = new StringBuilder("\"");
    for (char c : text.toCharArray()) {
      if (c == '"' || c == '\\') {
        quoted.append('\\');
      }
      quoted.append(Character.isISOControl(c) ? ' ' : c);
    }
    return quoted.append('"').toString();
  }

  @Override
  public String toString() {
    return line.toString();
  }
}
