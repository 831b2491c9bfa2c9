package org.arbutusspar.io.config;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Typed access to the fields of one YAML mapping. Problems are collected instead of thrown; a
 * getter that finds one returns a placeholder value.
 */
final class Fields {

  private final YamlValue.Mapping mapping;
  private final String path;
  private final List<ConfigProblem> problems;
  private final boolean present;

  private Fields(
      YamlValue.Mapping mapping, String path, List<ConfigProblem> problems, boolean present) {
    this.mapping = mapping;
    this.path = path;
    this.problems = problems;
    this.present = present;
  }

  /** Returns empty fields for a mapping that is missing; missing keys of it are not reported. */
  private static Fields absent(
      YamlValue.Position position, String path, List<ConfigProblem> problems) {
    return new Fields(new YamlValue.Mapping(position, Map.of()), path, problems, false);
  }

  /** Returns whether the mapping exists. */
  boolean isPresent() {
    return present;
  }

  /**
   * Returns the fields of a value. A value that is not a mapping is reported and gets empty fields.
   *
   * @param value the value
   * @param path path of the value from the root, as used in problems
   * @param problems list to which problems are added
   * @return the fields
   */
  static Fields of(YamlValue value, String path, List<ConfigProblem> problems) {
    if (value instanceof YamlValue.Mapping mapping) {
      return new Fields(mapping, path, problems, true);
    }
    addProblem(problems, value.position(), path, "must be a mapping, not a " + value.typeName());
    return absent(value.position(), path, problems);
  }

  /** Reports each key that is not in a set, and returns these fields. */
  Fields reportUnknownKeys(Set<String> known) {
    mapping
        .entries()
        .forEach(
            (key, entry) -> {
              if (!known.contains(key)) {
                addProblem(problems, entry.position(), childPath(key), "unknown key");
              }
            });
    return this;
  }

  Map<String, YamlValue.Entry> entries() {
    return mapping.entries();
  }

  /** Returns the path of a key from the root, as used in problems. */
  String childPath(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  /** Returns the value of a key, or empty if the key is missing, which is not reported. */
  Optional<YamlValue> value(String key) {
    return Optional.ofNullable(mapping.entries().get(key)).map(YamlValue.Entry::value);
  }

  /** Returns the fields of the mapping under a key. A missing key is reported. */
  Fields nested(String key) {
    Optional<YamlValue> value = value(key);
    if (value.isEmpty()) {
      reportMissing(key);
      return absent(mapping.position(), childPath(key), problems);
    }
    return of(value.get(), childPath(key), problems);
  }

  /** Returns the items of the list under a key. A missing key is reported. */
  List<YamlValue> items(String key) {
    Optional<YamlValue> value = value(key);
    if (value.isEmpty()) {
      reportMissing(key);
      return List.of();
    }
    if (value.get() instanceof YamlValue.Sequence sequence) {
      return sequence.items();
    }
    addProblem(
        problems,
        value.get().position(),
        childPath(key),
        "must be a list, not a " + value.get().typeName());
    return List.of();
  }

  /** Returns the text under a key. A missing key is reported. */
  String text(String key) {
    return scalar(key, "", "a text", Function.identity());
  }

  /** Returns the text under a key, or a fallback if the key is missing. */
  String text(String key, String fallback) {
    return value(key).isEmpty() ? fallback : text(key);
  }

  /** Returns the number under a key. A missing key or a number out of range is reported. */
  long integer(String key, long min, long max) {
    return scalar(
        key, min, "a whole number from " + min + " to " + max, t -> wholeInRange(t, min, max));
  }

  /** Returns the number under a key, or a fallback if the key is missing. */
  long integer(String key, long min, long max, long fallback) {
    return value(key).isEmpty() ? fallback : integer(key, min, max);
  }

  private static Long wholeInRange(String text, long min, long max) {
    long number = Long.parseLong(text);
    if (number < min || number > max) {
      throw new NumberFormatException("out of range");
    }
    return number;
  }

  /** Returns the number under a key. A missing key or a number out of range is reported. */
  double decimal(String key, double min, double max) {
    String expected =
        String.format(Locale.ROOT, "a number from %s to %s", format(min), format(max));
    return scalar(key, min, expected, t -> numberInRange(t, min, max));
  }

  private static Double numberInRange(String text, double min, double max) {
    double number = Double.parseDouble(text);
    if (!(number >= min && number <= max)) {
      throw new NumberFormatException("out of range");
    }
    return number;
  }

  private static String format(double number) {
    return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
  }

  /**
   * Returns the boolean under a key, or a fallback if the key is missing. Other values are
   * reported.
   */
  boolean bool(String key, boolean fallback) {
    if (value(key).isEmpty()) {
      return fallback;
    }
    return scalar(
        key,
        fallback,
        "true or false",
        t -> {
          if (!t.equals("true") && !t.equals("false")) {
            throw new IllegalArgumentException(t);
          }
          return t.equals("true");
        });
  }

  /**
   * Returns the enum constant whose lower-case name is under a key. A missing key or an unknown
   * name is reported.
   *
   * @param key the key
   * @param type the enum class
   * @param fallback returned after a problem was reported
   * @return the constant
   */
  <E extends Enum<E>> E enumValue(String key, Class<E> type, E fallback) {
    String names =
        String.join(
            ", ",
            List.of(type.getEnumConstants()).stream()
                .map(e -> e.name().toLowerCase(Locale.ROOT))
                .toList());
    return scalar(
        key,
        fallback,
        "one of " + names,
        t -> {
          if (!t.equals(t.toLowerCase(Locale.ROOT))) {
            throw new IllegalArgumentException(t);
          }
          return Enum.valueOf(type, t.toUpperCase(Locale.ROOT));
        });
  }

  private <T> T scalar(String key, T fallback, String expected, Function<String, T> parse) {
    Optional<YamlValue> value = value(key);
    if (value.isEmpty()) {
      reportMissing(key);
      return fallback;
    }
    if (value.get() instanceof YamlValue.Scalar scalar) {
      try {
        return parse.apply(scalar.text());
      } catch (IllegalArgumentException e) {
        addProblem(
            problems,
            scalar.position(),
            childPath(key),
            "must be " + expected + ", not '" + truncated(scalar.text()) + "'");
        return fallback;
      }
    }
    addProblem(
        problems,
        value.get().position(),
        childPath(key),
        "must be " + expected + ", not a " + value.get().typeName());
    return fallback;
  }

  private static String truncated(String text) {
    int max = 40;
    return text.length() <= max ? text : text.substring(0, max) + "...";
  }

  /** Reports a problem of the mapping as a whole. */
  void report(String message) {
    addProblem(problems, mapping.position(), path, message);
  }

  private void reportMissing(String key) {
    if (present) {
      addProblem(problems, mapping.position(), childPath(key), "is missing");
    }
  }

  private static void addProblem(
      List<ConfigProblem> problems, YamlValue.Position position, String field, String message) {
    problems.add(new ConfigProblem(position.file(), position.line(), field, message));
  }
}
