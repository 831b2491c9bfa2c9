package org.arbutusspar.core.placement;

import java.util.Map;
import org.arbutusspar.core.BoundedMaps;
import org.arbutusspar.core.Nanos;

/**
 * Shares of the requests of groups, such as kinds or workspaces, that were served recently. Times
 * are monotonic, in nanoseconds.
 */
final class ServedShares {

  /** Time after which counts are worth half. */
  private static final long HALF_LIFE_NANOS = Nanos.ofMillis(5_000);

  private static final int MAX_GROUPS = 8_192;

  private final Map<String, Counts> groups = BoundedMaps.droppingOldest(MAX_GROUPS);

  private ServedShares() {}

  /** Returns an object that has seen no requests. */
  static ServedShares create() {
    return new ServedShares();
  }

  /** Records a request of a group. */
  void onAsked(String group, long now) {
    counts(group, now).asked++;
  }

  /** Records that a request of a group is served. */
  void onServed(String group, long now) {
    counts(group, now).served++;
  }

  /**
   * Returns whether a group is served much less often than a larger one.
   *
   * @param group name of the group, not null
   * @param reference name of the larger group, not null
   * @param ratio least share of the group that is served, relative to that of the larger one
   * @param minAsked number of requests from which on the group is judged
   * @param now current time
   * @return true if its share is below the ratio
   */
  boolean isBehind(String group, String reference, double ratio, double minAsked, long now) {
    Counts own = counts(group, now);
    return own.asked >= minAsked && own.share() < ratio * counts(reference, now).share();
  }

  private Counts counts(String group, long now) {
    Counts known = groups.remove(group);
    Counts counts = known == null ? new Counts(now) : known;
    groups.put(group, counts);
    counts.decay(now);
    return counts;
  }

  /** Decaying numbers of requests of a group. */
  private static final class Counts {
    private long decayedAt;
    private double asked;
    private double served;

    private Counts(long now) {
      decayedAt = now;
    }

    private void decay(long now) {
      double factor = Math.pow(0.5, (double) (now - decayedAt) / HALF_LIFE_NANOS);
      asked *= factor;
      served *= factor;
      decayedAt = now;
    }

    private double share() {
      return asked == 0 ? 0 : served / asked;
    }
  }
}
