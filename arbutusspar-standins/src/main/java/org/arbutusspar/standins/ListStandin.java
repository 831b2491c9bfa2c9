package org.arbutusspar.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.LongSupplier;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.io.platform.Listing;

/** List of instances and replicas that shows each change only after a lag. */
final class ListStandin {

  private final LongSupplier clockMillis;
  private final Deque<Version> versions = new ArrayDeque<>();
  private Listing latest;
  private long lagMillis;
  private boolean down;
  private long lastNumber;

  private ListStandin(Listing initial, LongSupplier clockMillis) {
    this.clockMillis = clockMillis;
    this.latest = initial;
    versions.add(new Version(0, initial, Long.MIN_VALUE));
  }

  static ListStandin create(Listing initial, LongSupplier clockMillis) {
    return new ListStandin(initial, clockMillis);
  }

  synchronized void setLagMillis(long value) {
    lagMillis = value;
  }

  synchronized void setDown(boolean value) {
    down = value;
  }

  synchronized boolean isDown() {
    return down;
  }

  /** Marks a replica as leaving, or takes it off the list. */
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

  /** Returns what the list shows now. */
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

  /** A state of the list, and from when it shows. */
  record Version(long number, Listing listing, long visibleAtMillis) {}
}
