package org.arbutusspar.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Collectors;

/** Prompt cache of an engine stand-in: a few prefixes, the oldest dropped first. */
final class PrefixCache {

  private static final int MAX_PREFIXES = 64;
  private static final int MAX_REPORTED_DROPS = 16;

  private final Set<String> prefixes = new LinkedHashSet<>();
  private final Deque<String> dropped = new ArrayDeque<>();

  private PrefixCache() {}

  static PrefixCache create() {
    return new PrefixCache();
  }

  /** Uses a prefix, and returns whether it was in the cache. */
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

  /** Returns the prefixes that were dropped lately, as items of a JSON list. */
  synchronized String droppedJson() {
    return dropped.stream().map(p -> "\"" + p + "\"").collect(Collectors.joining(","));
  }
}
