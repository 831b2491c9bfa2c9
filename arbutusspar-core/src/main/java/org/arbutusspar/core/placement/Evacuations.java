package org.arbutusspar.core.placement;

import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.arbutusspar.core.id.DataCentre;

/**
 * The data centres that operators evacuate: nothing new is sent to the replicas there.
 *
 * <p>Load pattern: a data centre is emptied while everyone comes, so its share of the requests
 * moves to the other data centres at once, and comes back to replicas that may all be cold.
 *
 * <p>An evacuation lasts for as long as its record exists. It may name a data centre in which no
 * replica is known, or all data centres. Times are monotonic, in nanoseconds. Not thread-safe.
 */
public final class Evacuations {

  private final Map<DataCentre, Long> begunAt = new TreeMap<>();

  private Evacuations() {}

  /** Returns an object without evacuations. */
  public static Evacuations create() {
    return new Evacuations();
  }

  /**
   * Replaces the evacuations in force.
   *
   * @param requested the data centres that are to be evacuated now, not null
   * @param now current time
   * @return what has changed
   */
  public Change update(Collection<DataCentre> requested, long now) {
    Objects.requireNonNull(requested, "requested");
    Set<DataCentre> begun = new TreeSet<>(requested);
    begun.removeAll(begunAt.keySet());
    Set<DataCentre> ended = new TreeSet<>(begunAt.keySet());
    ended.removeAll(Set.copyOf(requested));
    ended.forEach(begunAt::remove);
    begun.forEach(dataCentre -> begunAt.put(dataCentre, now));
    return new Change(begun, ended);
  }

  /** Returns the data centres that are evacuated now. */
  public Set<DataCentre> inForce() {
    return Set.copyOf(begunAt.keySet());
  }

  /**
   * Returns when this instance learned of each evacuation in force.
   *
   * @return times by data centre, not to be modified
   */
  public Map<DataCentre, Long> begunAt() {
    return Map.copyOf(begunAt);
  }

  /**
   * Difference between two sets of evacuations.
   *
   * @param begun data centres that are evacuated now and were not before
   * @param ended data centres that may be used again
   */
  public record Change(Set<DataCentre> begun, Set<DataCentre> ended) {

    /** Copies the sets. */
    public Change {
      begun = Set.copyOf(begun);
      ended = Set.copyOf(ended);
    }

    /** Returns whether nothing has changed. */
    public boolean isEmpty() {
      return begun.isEmpty() && ended.isEmpty();
    }
  }
}
