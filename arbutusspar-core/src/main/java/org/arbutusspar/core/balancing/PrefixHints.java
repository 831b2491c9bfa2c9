package org.arbutusspar.core.balancing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.id.ReplicaId;

/**
 * Records which replica last served each prompt prefix and so probably has it in its prompt cache.
 * Engines publish cache events late and incompletely, so the expected saving of a hint decays with
 * its age. A wrong hint costs one comparison of replicas.
 */
public final class PrefixHints {

  /** Maximum number of hints; beyond it, the hint of the prefix that was added first is removed. */
  private static final int MAX_HINTS = 8_192;

  /** Share of the duration of a call that a cached prefix saves at age 0. */
  private static final double FRESH_SAVING_FRACTION = 0.3;

  /** Age at which the expected saving is halved, in nanoseconds. */
  private static final long HALF_LIFE_NANOS = Nanos.ofMillis(30_000);

  private final Map<Long, Hint> hints =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Hint> eldest) {
          return size() > MAX_HINTS;
        }
      };

  private PrefixHints() {}

  /** Returns an object without hints. */
  public static PrefixHints create() {
    return new PrefixHints();
  }

  /**
   * Records that a replica served a call with a prefix.
   *
   * @param affinity hash of the prefix
   * @param replica the replica, not null
   * @param now current monotonic time, in nanoseconds
   */
  public void onServed(long affinity, ReplicaId replica, long now) {
    hints.put(affinity, new Hint(replica, now));
  }

  /**
   * Removes the hint for a prefix after a cache event reported its eviction.
   *
   * @param affinity hash of the prefix
   * @param replica replica that evicted the prefix, not null
   */
  public void onDropped(long affinity, ReplicaId replica) {
    Hint hint = hints.get(affinity);
    if (hint != null && hint.replica().equals(replica)) {
      hints.remove(affinity);
    }
  }

  /**
   * Returns the replica that probably has a prefix in its cache.
   *
   * @param affinity hash of the prefix
   * @param now current monotonic time, in nanoseconds
   * @return the replica, or empty if there is no hint younger than four half-lives
   */
  Optional<ReplicaId> probableHolder(long affinity, long now) {
    Hint hint = hints.get(affinity);
    boolean useful = hint != null && now - hint.servedNanos() < 4 * HALF_LIFE_NANOS;
    return useful ? Optional.of(hint.replica()) : Optional.empty();
  }

  /**
   * Returns the share of the duration of a call that a cached prefix is expected to save.
   *
   * @param affinity hash of the prefix
   * @param replica the replica
   * @param now current monotonic time, in nanoseconds
   * @return the share, from 0 to 1; 0 if there is no hint for this replica
   */
  double expectedSaving(long affinity, ReplicaId replica, long now) {
    Hint hint = hints.get(affinity);
    if (hint == null || !hint.replica().equals(replica)) {
      return 0;
    }
    return FRESH_SAVING_FRACTION
        * Math.pow(0.5, (now - hint.servedNanos()) / (double) HALF_LIFE_NANOS);
  }

  private record Hint(ReplicaId replica, long servedNanos) {}
}
