package org.arbutusspar.entry.gateway;

import java.util.Map;
import org.arbutusspar.core.BoundedMaps;
import org.arbutusspar.core.placement.ReplicaRegistry;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.platform.ReplicaSignals;

/**
 * Applies what replicas announce in their responses: a replica that is shutting down is no longer
 * chosen, also while the list of replicas does not say so yet, and one that asks for a pause gets
 * no requests from this instance until its end.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class ReplicaAnnouncements {

  private static final int MAX_REPLICAS = 8_192;

  private final ReplicaRegistry replicas;
  private final EventLoop loop;
  private final EventLog log;

  /** Last stated limit on the request rate, by incarnation of the replica. */
  private final Map<String, Double> limits = BoundedMaps.droppingOldest(MAX_REPLICAS);

  private Runnable onReplicasChanged = () -> {};

  private ReplicaAnnouncements(ReplicaRegistry replicas, EventLoop loop, EventLog log) {
    this.replicas = replicas;
    this.loop = loop;
    this.log = log;
  }

  /**
   * Returns an object that has received no announcement.
   *
   * @param replicas the listed replicas, not null
   * @param loop event loop, not null
   * @param log receives each change, not null
   * @return the object
   */
  static ReplicaAnnouncements create(ReplicaRegistry replicas, EventLoop loop, EventLog log) {
    return new ReplicaAnnouncements(replicas, loop, log);
  }

  /** Sets the task that runs when the replicas that may be chosen have changed. */
  void onReplicasChanged(Runnable task) {
    onReplicasChanged = task;
  }

  /**
   * Applies the announcements in a response.
   *
   * @param replica the replica that sent the response, not null
   * @param signals the announcements, not null
   */
  void apply(UpstreamReplica replica, ReplicaSignals signals) {
    signals
        .rejectedBackoff()
        .ifPresent(value -> log.write("backoff-rejected", "replica", replica.id(), "value", value));
    signals
        .backoffMillis()
        .ifPresent(
            millis -> {
              replicas.onBackoff(replica, millis, loop.now());
              log.write("replica-backoff", "replica", replica.id(), "millis", millis);
            });
    signals
        .rejectedLimit()
        .ifPresent(value -> log.write("limit-rejected", "replica", replica.id(), "value", value));
    signals.limitPerSecond().ifPresent(limit -> onLimit(replica, limit));
    if (signals.leaving() && replicas.onLeaving(replica)) {
      log.write("replica-leaving", "replica", replica.id(), "service", replica.service());
      onReplicasChanged.run();
    }
  }

  private void onLimit(UpstreamReplica replica, double perSecond) {
    Double previous = limits.put(replica.incarnation(), perSecond);
    if (previous == null || previous != perSecond) {
      log.write("replica-limit", "replica", replica.id(), "per_second", perSecond);
    }
  }
}
