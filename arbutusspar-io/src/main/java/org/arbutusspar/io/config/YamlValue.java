package org.arbutusspar.io.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A YAML value with its position in a file. Immutable. */
sealed interface YamlValue {

  /** Returns the position of the value. */
  Position position();

  /** Returns the name of the type of value, as used in messages. */
  String typeName();

  /**
   * Returns this value merged with the value of the same key in a later file. Mappings are merged
   * key by key; any other value is replaced by the later one.
   *
   * @param later the value of the later file
   * @return the merged value
   */
  default YamlValue mergedWith(YamlValue later) {
    return later;
  }

  /**
   * Position of a value.
   *
   * @param file name of the file
   * @param line line number from 1
   */
  record Position(String file, int line) {}

  /** A mapping, with its entries by key in the order of the file. */
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

  /** An entry of a mapping: the position of its key, and its value. */
  record Entry(Position position, YamlValue value) {}

  /** A list. */
  record Sequence(Position position, List<YamlValue> items) implements YamlValue {

    @Override
    public String typeName() {
      return "list";
    }
  }

  /** A scalar: its text as written in the file, and whether it was quoted. */
  record Scalar(Position position, String text, boolean quoted) implements YamlValue {

    @Override
    public String typeName() {
      return "value";
    }
  }
}
