package org.arbutusspar.standins;

import java.util.Map;
import java.util.TreeMap;

/**
 * Records how often each call of a plain service was run, by its idempotency key. {@link AuditMain}
 * compares the counts with the outcomes that clients received. Safe for use by several threads.
 */
public final class Ledger {

  private static final int MAX_KEYS = 1_000_000;

  private final Map<String, Integer> runsByKey = new TreeMap<>();
  private int callsAfterLeaving;

  private Ledger() {}

  static Ledger create() {
    return new Ledger();
  }

  /**
   * Counts a run of a plain call.
   *
   * @param key idempotency key of the call
   * @return number of runs with this key, including this one
   * @throws IllegalStateException if the ledger holds its maximum number of keys
   */
  synchronized int recordRun(String key) {
    if (runsByKey.size() >= MAX_KEYS) {
      throw new IllegalStateException("ledger is full");
    }
    return runsByKey.merge(key, 1, Integer::sum);
  }

  /** Counts a call that arrived after the grace period of a leaving replica. */
  synchronized void countCallAfterLeaving() {
    callsAfterLeaving++;
  }

  /** Returns one line for each key: the number of runs, a blank and the key. */
  synchronized String lines() {
    StringBuilder lines = new StringBuilder();
    runsByKey.forEach((key, count) -> lines.append(count).append(' ').append(key).append('\n'));
    return lines.toString();
  }

  /** Returns the number of calls that arrived after the grace period of a leaving replica. */
  synchronized int callsAfterLeaving() {
    return callsAfterLeaving;
  }
}
