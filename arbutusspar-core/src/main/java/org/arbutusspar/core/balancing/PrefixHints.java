package org.arbutusspar.core.balancing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.id.ReplicaId;

/**
 * Remembers which replica last served a prompt prefix. Engines publish their cache events late and
 * with gaps, so a hint loses its worth with age, and a wrong hint costs one comparison.
 */
public final class PrefixHints {

  private static final int MAX_HINTS = 8_192;
  private static final double FRESH_SAVING_FRACTION = 0.3;
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

  /** Returns hints that know nothing. */
  public static PrefixHints create() {
    return new PrefixHints();
  }

  /**
   * Learns that a replica holds a prefix.
   *
   * @param affinity hash of the prefix
   * @param replica the replica, not null
   * @param now the time
   */
  public void onServed(long affinity, ReplicaId replica, long now) {
    hints.put(affinity, new Hint(replica, now));
  }

  /**
   * Learns from a cache event that a replica dropped a prefix.
   *
   * @param affinity hash of the prefix
   * @param replica the replica, not null
   */
  public void onDropped(long affinity, ReplicaId replica) {
    Hint hint = hints.get(affinity);
    if (hint != null && hint.replica().equals(replica)) {
      hints.remove(affinity);
    }
  }

  /**
   * Returns the replica that probably holds a prefix.
   *
   * @param affinity hash of the prefix
   * @param now the time
   * @return the replica, or empty
   */
  Optional<ReplicaId> probableHolder(long affinity, long now) {
    Hint hint = hints.get(affinity);
    boolean useful = hint != null && now - hint.servedNanos() < 4 * HALF_LIFE_NANOS;
    return useful ? Optional.of(hint.replica()) : Optional.empty();
  }

  /**
   * Returns the share of a call's duration that a cached prefix is expected to save.
   *
   * @param affinity hash of the prefix
   * @param replica the replica
   * @param now the time
   * @return 0 to 1
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
