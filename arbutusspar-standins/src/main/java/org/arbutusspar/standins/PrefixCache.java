package org.arbutusspar.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Prompt cache of an engine stand-in. It holds the most recently used prompt prefixes, evicts the
 * least recently used one when it is full, and remembers the most recent evictions for the load
 * report.
 */
final class PrefixCache {

  private static final int MAX_PREFIXES = 64;
  private static final int MAX_REPORTED_DROPS = 16;

  /** Cached prefixes, the least recently used one first. */
  private final Set<String> prefixes = new LinkedHashSet<>();

  /** Recently evicted prefixes, the oldest eviction first. */
  private final Deque<String> dropped = new ArrayDeque<>();

  private PrefixCache() {}

  static PrefixCache create() {
    return new PrefixCache();
  }

  /**
   * Adds a prefix, or marks it as the most recently used one.
   *
   * @param prefix key of the prefix
   * @return whether the prefix was in the cache
   */
  synchronized boolean touch(String prefix) {
    final boolean hit = prefixes.remove(prefix);
    prefixes.add(prefix);
    if (prefixes.size() > MAX_PREFIXES) {
      Iterator<String> oldest = prefixes.iterator();
      dropped.addLast(oldest.next());
      oldest.remove();
    }
    if (dropped.size() > MAX_REPORTED_DROPS) {
      dropped.removeFirst();
    }
    return hit;
  }

  /**
   * Returns the most recently evicted prefixes as the items of a JSON array, without its brackets.
   */
  synchronized String droppedJson() {
    return dropped.stream().map(p -> "\"" + p + "\"").collect(Collectors.joining(","));
  }
}
