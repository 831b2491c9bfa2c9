package org.arbutusspar.standins;

import java.util.Map;
import java.util.TreeMap;

/** Counts how often each plain call was run, by its idempotency key. */
public final class Ledger {

  private static final int MAX_KEYS = 1_000_000;

  private final Map<String, Integer> runsByKey = new TreeMap<>();
  private int callsAfterLeaving;

  private Ledger() {}

  static Ledger create() {
    return new Ledger();
  }

  synchronized int recordRun(String key) {
    if (runsByKey.size() >= MAX_KEYS) {
      throw new IllegalStateException("ledger is full");
    }
    return runsByKey.merge(key, 1, Integer::sum);
  }

  synchronized void countCallAfterLeaving() {
    callsAfterLeaving++;
  }

  /** Returns one line for each key: the number of runs and the key. */
  synchronized String lines() {
    StringBuilder lines = new StringBuilder();
    runsByKey.forEach((key, count) -> lines.append(count).append(' ').append(key).append('\n'));
    return lines.toString();
  }

  /** Returns the calls that arrived at a replica long after it said that it was leaving. */
  synchronized int callsAfterLeaving() {
    return callsAfterLeaving;
  }
}
