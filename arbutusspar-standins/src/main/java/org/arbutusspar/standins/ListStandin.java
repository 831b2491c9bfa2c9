package org.arbutusspar.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.LongSupplier;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.io.platform.Listing;

/**
 * In-memory list of instances and replicas. A change becomes visible to readers only after a
 * configurable lag, as on a platform whose list is eventually consistent.
 */
final class ListStandin {

  private final LongSupplier clockMillis;

  /** The visible version, followed by the versions that are still hidden by the lag. */
  private final Deque<Version> versions = new ArrayDeque<>();

  /** The listing after all changes, including those that readers do not see yet. */
  private Listing latest;

  private long lagMillis;
  private boolean down;
  private long lastNumber;

  private ListStandin(Listing initial, LongSupplier clockMillis) {
    this.clockMillis = clockMillis;
    this.latest = initial;
    versions.add(new Version(0, initial, Long.MIN_VALUE));
  }

  /**
   * Creates a list without lag.
   *
   * @param initial listing that is visible from the start
   * @param clockMillis monotonic clock, in milliseconds
   * @return the list
   */
  static ListStandin create(Listing initial, LongSupplier clockMillis) {
    return new ListStandin(initial, clockMillis);
  }

  /** Sets the time between a later change and its visibility, in milliseconds. */
  synchronized void setLagMillis(long value) {
    lagMillis = value;
  }

  /** Sets whether the list is unavailable. */
  synchronized void setDown(boolean value) {
    down = value;
  }

  synchronized boolean isDown() {
    return down;
  }

  /**
   * Marks a replica as leaving or removes it. The change becomes visible after the lag that is set
   * now.
   *
   * @param replicaId id of the replica; an id that is not listed changes no replica
   * @param remove true to remove the replica, false to mark it as leaving
   */
  synchronized void updateReplica(String replicaId, boolean remove) {
    List<ListedReplica> updated =
        latest.replicas().stream()
            .filter(r -> !remove || !r.id().value().equals(replicaId))
            .map(r -> r.id().value().equals(replicaId) ? asLeaving(r) : r)
            .toList();
    latest = new Listing(latest.instances(), updated);
    versions.addLast(new Version(++lastNumber, latest, clockMillis.getAsLong() + lagMillis));
  }

  private static ListedReplica asLeaving(ListedReplica replica) {
    return new ListedReplica(
        replica.id(), replica.service(), replica.endpoint(), replica.dataCentre(), true);
  }

  /** Returns the newest version whose lag has passed, and drops the versions before it. */
  synchronized Version visible() {
    long now = clockMillis.getAsLong();
    Version visible = versions.getFirst();
    while (versions.size() > 1) {
      Version oldest = versions.removeFirst();
      if (versions.getFirst().visibleAtMillis() > now) {
        versions.addFirst(oldest);
        break;
      }
      visible = versions.getFirst();
    }
    return visible;
  }

  /**
   * A version of the list.
   *
   * @param number number of the version, 0 for the initial one; served as the entity tag
   * @param listing the instances and replicas
   * @param visibleAtMillis time of {@code clockMillis} from which readers see the version
   */
  record Version(long number, Listing listing, long visibleAtMillis) {}
}
