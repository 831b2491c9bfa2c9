package org.arbutusspar.entry.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.arbutusspar.core.peer.PeerTable;
import org.arbutusspar.core.placement.PlainServiceLimit;
import org.arbutusspar.core.placement.ReplicaRegistry;
import org.arbutusspar.core.placement.ReturnTimes;
import org.arbutusspar.core.placement.StatedLoad;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.placement.UsualLoad;
import org.arbutusspar.core.stage.WaitByUrgency;

/**
 * Limits of the services whose callers compete for capacity, and the times at which rejected
 * clients return. There is one only on deployments with rules for that. Except for {@link
 * #waitsMillis}, all methods run on the event loop.
 */
final class ContendedServices {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final ReplicaRegistry replicas;
  private final PeerTable peers;
  private final Map<String, PlainServiceLimit> limits = new HashMap<>();
  private final Map<String, ReturnTimes> returnTimes = new HashMap<>();
  private final Map<String, UsualLoad> usualLoads = new HashMap<>();
  private final Map<String, WaitByUrgency> stageWaits = new HashMap<>();
  private volatile Map<String, Integer> waitsMillis = Map.of();

  private ContendedServices(ReplicaRegistry replicas, PeerTable peers) {
    this.replicas = replicas;
    this.peers = peers;
  }

  /**
   * Returns an object that has seen no requests.
   *
   * @param replicas the listed replicas, not null
   * @param peers this instance and its peers, not null
   * @return the object
   */
  static ContendedServices create(ReplicaRegistry replicas, PeerTable peers) {
    return new ContendedServices(replicas, peers);
  }

  /**
   * Decides whether to admit a request for a service whose replicas queue requests themselves.
   *
   * @param service name of the service, not null
   * @param request the request, not null
   * @param now current monotonic time, in nanoseconds
   * @return the decision
   */
  PlainServiceLimit.Decision admit(String service, PlainServiceLimit.Request request, long now) {
    return limits.computeIfAbsent(service, name -> PlainServiceLimit.create()).decide(request, now);
  }

  /** Records the load that a replica states. */
  void onReport(UpstreamReplica replica, StatedLoad load, long now) {
    PlainServiceLimit limit = limits.get(replica.service());
    if (limit != null) {
      limit.onReport(load, now);
    }
  }

  /** Records the time of a valid response in milliseconds, and the load stated in it. */
  void onValidResponse(UpstreamReplica replica, double millis, StatedLoad load) {
    PlainServiceLimit limit = limits.get(replica.service());
    if (limit != null) {
      limit.onValidResponse(millis, load);
    }
  }

  /** Returns the time of the work for a request in milliseconds, 0 if it is unknown. */
  double workMillis(String service) {
    PlainServiceLimit limit = limits.get(service);
    return limit == null ? 0 : limit.workMillis();
  }

  /**
   * Returns the time after which the client of a rejected request returns.
   *
   * @param service name of the service, not null
   * @param rejection the rejected request, not null
   * @param now current monotonic time, in nanoseconds
   * @return the time in milliseconds
   */
  double returnMillis(String service, ReturnTimes.Rejection rejection, long now) {
    return returnTimes
        .computeIfAbsent(service, name -> ReturnTimes.create())
        .afterMillis(rejection, roomPerSecond(service, now), now);
  }

  /** Returns the requests a second of this instance's share of a service, 0 if unknown. */
  private double roomPerSecond(String service, long now) {
    double workMillis = workMillis(service);
    if (workMillis == 0) {
      return 0;
    }
    Collection<UpstreamReplica> listed = replicas.notLeaving(service);
    int slots = listed.stream().mapToInt(replica -> Math.max(1, replica.slots())).sum();
    return slots * MILLIS_PER_SECOND / workMillis / Math.max(1, peers.liveCount(now));
  }

  /** Records a request with stages, and returns whether it is within the usual load of its kind. */
  boolean isWithinUsualLoad(String kind, long now) {
    return usualLoads.computeIfAbsent(kind, name -> UsualLoad.create()).onRequest(now);
  }

  /** Returns how long the pieces of a request wait at a service, by its kinds of request. */
  WaitByUrgency stageWait(String service) {
    return stageWaits.computeIfAbsent(service, name -> WaitByUrgency.create());
  }

  /** Copies the expected waits for {@link #waitsMillis}. */
  void updateWaits(long now) {
    Map<String, Integer> waits = new HashMap<>();
    limits.forEach((service, limit) -> waits.put(service, (int) Math.round(limit.waitMillis(now))));
    waitsMillis = Map.copyOf(waits);
  }

  /** Returns the expected waits for a slot as of the last update, by service. Thread-safe. */
  Map<String, Integer> waitsMillis() {
    return waitsMillis;
  }
}
