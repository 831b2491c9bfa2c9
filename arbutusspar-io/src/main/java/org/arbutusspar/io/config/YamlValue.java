package org.arbutusspar.io.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A value of a YAML file that knows where it stands. Immutable. */
sealed interface YamlValue {

  /** Returns where the value stands. */
  Place place();

  /** Returns the word for the type of value in messages. */
  String typeName();

  /**
   * Returns the value refined by one from a later file: mappings are merged key by key, anything
   * else is replaced.
   */
  default YamlValue refinedBy(YamlValue later) {
    return later;
  }

  /**
   * Where a value stands.
   *
   * @param file file name
   * @param line line from 1
   */
  record Place(String file, int line) {}

  /** A mapping. */
  record Mapping(Place place, Map<String, Entry> entries) implements YamlValue {

    @Override
    public String typeName() {
      return "mapping";
    }

    @Override
    public YamlValue refinedBy(YamlValue later) {
      if (!(later instanceof Mapping other)) {
        return later;
      }
      Map<String, Entry> merged = new LinkedHashMap<>(entries);
      other.entries.forEach(
          (key, entry) ->
              merged.merge(
                  key, entry, (a, b) -> new Entry(b.place(), a.value().refinedBy(b.value()))));
      return new Mapping(other.place, merged);
    }
  }

  /** One key of a mapping: where the key stands, and its value. */
  record Entry(Place place, YamlValue value) {}

  /** A list. */
  record Sequence(Place place, List<YamlValue> items) implements YamlValue {

    @Override
    public String typeName() {
      return "list";
    }
  }

  /** A scalar as it is written, and whether it was quoted. */
  record Scalar(Place place, String text, boolean quoted) implements YamlValue {

    @Override
    public String typeName() {
      return "value";
    }
  }
}
