package org.arbutusspar.io.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A value of a YAML file that knows where it stands. Immutable. */
sealed interface YamlValue {

  /** Returns where the value stands. */
  Position position();

  /** Returns the word for the type of value in messages. */
  String typeName();

  /**
   * Returns the value refined by one from a later file: mappings are merged key by key, anything
   * else is replaced.
   */
  default YamlValue mergedWith(YamlValue later) {
    return later;
  }

  /**
   * Where a value stands.
   *
   * @param file file name
   * @param line line from 1
   */
  record Position(String file, int line) {}

  /** A mapping. */
  record Mapping(Position position, Map<String, Entry> entries) implements YamlValue {

    @Override
    public String typeName() {
      return "mapping";
    }

    @Override
    public YamlValue mergedWith(YamlValue later) {
      if (!(later instanceof Mapping other)) {
        return later;
      }
      Map<String, Entry> merged = new LinkedHashMap<>(entries);
      other.entries.forEach(
          (key, entry) ->
              merged.merge(
                  key, entry, (a, b) -> new Entry(b.position(), a.value().mergedWith(b.value()))));
      return new Mapping(other.position, merged);
    }
  }

  /** One key of a mapping: where the key stands, and its value. */
  record Entry(Position position, YamlValue value) {}

  /** A list. */
  record Sequence(Position position, List<YamlValue> items) implements YamlValue {

    @Override
    public String typeName() {
      return "list";
    }
  }

  /** A scalar as it is written, and whether it was quoted. */
  record Scalar(Position position, String text, boolean quoted) implements YamlValue {

    @Override
    public String typeName() {
      return "value";
    }
  }
}
