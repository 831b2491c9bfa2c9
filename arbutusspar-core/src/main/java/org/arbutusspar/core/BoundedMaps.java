package org.arbutusspar.core;

import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.commons.lang3.Validate;

/** Maps with a maximum number of entries, for what is learned from outside. */
public final class BoundedMaps {

  private BoundedMaps() {}

  /**
   * Returns an empty map that drops the entry which was added first when it gets too large.
   *
   * @param maxEntries maximum number of entries, over 0
   * @return the map, not thread-safe
   */
  public static <K, V> Map<K, V> droppingOldest(int maxEntries) {
    Validate.isTrue(maxEntries > 0, "maxEntries must be positive");
    return new LinkedHashMap<>() {
      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
      }
    };
  }
}
