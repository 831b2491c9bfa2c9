package org.arbutusspar.entry.gateway;

import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.arbutusspar.core.placement.ReplicaRateLimits;
import org.arbutusspar.core.placement.ReplicaRegistry;
import org.arbutusspar.core.placement.StatedLimit;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.link.PeerMessage;
import org.arbutusspar.platform.ReplicaSignals;

/**
 * Applies what replicas announce in their responses: a replica that is shutting down is no longer
 * chosen, also while the list of replicas does not say so yet, one that asks for a pause gets no
 * requests from this instance until its end, and one that states a limit on its request rate gets
 * no more than that from all instances together, for which the peers learn the limit.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class ReplicaAnnouncements {

  private final ReplicaRegistry replicas;
  private final ReplicaRateLimits rateLimits;
  private final PeerNetwork peerNetwork;
  private final EventLoop loop;
  private final EventLog log;
  private Runnable onReplicasChanged = () -> {};

  private ReplicaAnnouncements(
      ReplicaRegistry replicas,
      ReplicaRateLimits rateLimits,
      PeerNetwork peerNetwork,
      EventLoop loop,
      EventLog log) {
    this.replicas = replicas;
    this.rateLimits = rateLimits;
    this.peerNetwork = peerNetwork;
    this.loop = loop;
    this.log = log;
  }

  /**
   * Returns an object that has received no announcement.
   *
   * @param replicas the listed replicas, not null
   * @param rateLimits the limits that replicas have stated, not null
   * @param peerNetwork passes limits on to the peers, not null
   * @param loop event loop, not null
   * @param log receives each change, not null
   * @return the object
   */
  static ReplicaAnnouncements create(
      ReplicaRegistry replicas,
      ReplicaRateLimits rateLimits,
      PeerNetwork peerNetwork,
      EventLoop loop,
      EventLog log) {
    return new ReplicaAnnouncements(replicas, rateLimits, peerNetwork, loop, log);
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
   * @param sentAt time when the request was sent, if the response would state a limit that is in
   *     force; empty if nothing follows from its absence
   */
  void apply(UpstreamReplica replica, ReplicaSignals signals, OptionalLong sentAt) {
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
    applyLimit(replica, signals, sentAt);
    if (signals.leaving() && replicas.onLeaving(replica)) {
      log.write("replica-leaving", "replica", replica.id(), "service", replica.service());
      onReplicasChanged.run();
    }
  }

  private void applyLimit(UpstreamReplica replica, ReplicaSignals signals, OptionalLong sentAt) {
    long now = loop.now();
    OptionalDouble limit = signals.limitPerSecond();
    boolean announce;
    if (limit.isPresent()) {
      announce = rateLimits.onStated(replica, limit.getAsDouble(), now);
    } else {
      announce =
          sentAt.isPresent()
              && signals.rejectedLimit().isEmpty()
              && rateLimits.onNoneStated(replica, sentAt.getAsLong(), now);
    }
    if (announce) {
      StatedLimit stated = new StatedLimit(replica.incarnation(), limit, now);
      logLimit(stated, "response");
      peerNetwork.sendToAll(new PeerMessage.RateLimits(List.of(stated)));
    }
  }

  private void logLimit(StatedLimit stated, String source) {
    log.write(
        "replica-limit",
        "replica",
        stated.incarnation(),
        "per_second",
        stated.perSecond().isPresent() ? stated.perSecond().getAsDouble() : "none",
        "source",
        source);
  }

  /**
   * Handles a message from a peer. Messages that do not concern limits are ignored.
   *
   * @param name name of the peer, not null
   * @param message the message, not null
   */
  void onMessage(String name, PeerMessage message) {
    if (!(message instanceof PeerMessage.RateLimits received)) {
      return;
    }
    List<StatedLimit> changed = received.limits().stream().filter(rateLimits::learn).toList();
    changed.forEach(stated -> logLimit(stated, name));
    if (!changed.isEmpty() && peerNetwork.isRelay()) {
      peerNetwork.sendToAll(new PeerMessage.RateLimits(changed));
    }
  }

  /**
   * Sends the limits in force to a peer that has connected, so that it knows them before it chooses
   * a replica for this instance.
   *
   * @param name name of the peer, not null
   */
  void onUp(String name) {
    List<StatedLimit> limits = rateLimits.inForce();
    if (!limits.isEmpty()) {
      peerNetwork.send(name, new PeerMessage.RateLimits(limits));
    }
  }
}
