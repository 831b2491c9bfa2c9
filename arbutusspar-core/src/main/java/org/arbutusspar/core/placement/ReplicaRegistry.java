package org.arbutusspar.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;

/** The listed replicas of all services, with what this instance knows of their load and health. */
public final class ReplicaRegistry {

  /** Weight of the share of failed answers in the expected time of a request. */
  private static final double FAILURE_COST_FACTOR = 8;

  /** Requests beyond its slots that a replica is given before it counts as full. */
  private static final double QUEUE_PER_SLOT = 1;

  /** Share of a service's replicas that may be passed over because of failures. */
  private static final double MAX_COOLING_DOWN_SHARE = 0.5;

  private Map<String, List<UpstreamReplica>> byService = Map.of();
  private Map<String, UpstreamReplica> byId = Map.of();
  private Map<Endpoint, UpstreamReplica> byEndpoint = Map.of();
  private final Map<String, ReplicaLoad> loads = new HashMap<>();

  private ReplicaRegistry() {}

  /** Returns a book without replicas. */
  public static ReplicaRegistry create() {
    return new ReplicaRegistry();
  }

  /**
   * Replaces the listed replicas.
   *
   * @param listed all replicas, those that are leaving included, not null
   */
  public void replace(Collection<UpstreamReplica> listed) {
    Map<String, List<UpstreamReplica>> grouped = new LinkedHashMap<>();
    Map<String, UpstreamReplica> ids = new LinkedHashMap<>();
    Map<String, ReplicaLoad> knownLoads = new HashMap<>();
    for (UpstreamReplica replica : listed) {
      if (!replica.leaving()) {
        grouped.computeIfAbsent(replica.service(), s -> new ArrayList<>()).add(replica);
      }
      ids.put(replica.id(), replica);
      knownLoads.put(replica.id(), loads.getOrDefault(replica.id(), new ReplicaLoad()));
    }
    loads
        .entrySet()
        .removeIf(e -> !knownLoads.containsKey(e.getKey()) && e.getValue().inFlight() == 0);
    loads.putAll(knownLoads);
    byService = grouped;
    byId = ids;
    Map<Endpoint, UpstreamReplica> endpoints = new HashMap<>();
    listed.forEach(replica -> endpoints.put(replica.endpoint(), replica));
    byEndpoint = endpoints;
  }

  /** Returns a listed replica, leaving or not, or empty if it is not listed. */
  public Optional<UpstreamReplica> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns the data centre of the listed replica at an endpoint, or empty if there is none. */
  public Optional<DataCentre> dataCentre(Endpoint endpoint) {
    return Optional.ofNullable(byEndpoint.get(endpoint)).map(UpstreamReplica::dataCentre);
  }

  /** Returns the number of listed replicas that are usable, resting after failures, or leaving. */
  public Map<String, Integer> countByState(long now) {
    Map<String, Integer> counts = new HashMap<>();
    for (UpstreamReplica replica : byId.values()) {
      String state = load(replica).isCoolingDown(now) ? "resting" : "usable";
      counts.merge(replica.leaving() ? "leaving" : state, 1, Integer::sum);
    }
    return counts;
  }

  /** Returns the listed replicas that a fresh list lacks. */
  public List<UpstreamReplica> missingFrom(Collection<UpstreamReplica> current) {
    Set<String> ids = new HashSet<>();
    current.forEach(replica -> ids.add(replica.id()));
    return byId.values().stream().filter(replica -> !ids.contains(replica.id())).toList();
  }

  /** Returns the replicas of a service that are not leaving. */
  public List<UpstreamReplica> notLeaving(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /**
   * Returns the replica that a request should go to.
   *
   * @param request what it is chosen for, not null
   * @param placement how to choose, not null
   * @param now current time
   * @return the replica, or empty if none has room
   */
  public Optional<UpstreamReplica> choose(PlacementRequest request, Placement placement, long now) {
    List<UpstreamReplica> listed =
        notLeaving(request.service()).stream()
            .filter(replica -> !request.excluded().contains(replica.id()))
            .toList();
    List<UpstreamReplica> healthy =
        listed.stream().filter(replica -> !load(replica).isCoolingDown(now)).toList();
    boolean enoughHealthy = healthy.size() >= listed.size() * (1 - MAX_COOLING_DOWN_SHARE);
    List<Placement.Candidate> candidates =
        (enoughHealthy ? healthy : listed)
            .stream()
                .filter(replica -> hasCapacity(replica, now))
                .map(replica -> candidate(replica, now))
                .toList();
    return placement.choose(request, candidates).map(Placement.Candidate::replica);
  }

  private boolean hasCapacity(UpstreamReplica replica, long now) {
    double capacity = Math.max(1, replica.slots()) * (1 + QUEUE_PER_SLOT);
    return load(replica).estimate(now) < capacity;
  }

  private Placement.Candidate candidate(UpstreamReplica replica, long now) {
    ReplicaLoad load = load(replica);
    double cost = relativeTime(replica) * (1 + FAILURE_COST_FACTOR * load.failureShare());
    return new Placement.Candidate(replica, load.estimate(now), cost);
  }

  private double relativeTime(UpstreamReplica replica) {
    double ownMillis = load(replica).meanMillis();
    double meanMillis =
        notLeaving(replica.service()).stream()
            .mapToDouble(each -> load(each).meanMillis())
            .filter(millis -> millis > 0)
            .average()
            .orElse(0);
    return ownMillis == 0 || meanMillis == 0 ? 1 : Math.max(0.5, ownMillis / meanMillis);
  }

  private ReplicaLoad load(UpstreamReplica replica) {
    return loads.computeIfAbsent(replica.id(), id -> new ReplicaLoad());
  }

  /** Counts a request that is sent. */
  public void onSent(UpstreamReplica replica) {
    load(replica).onSent();
  }

  /** Counts a request that ended in whatever way. */
  public void onEnded(UpstreamReplica replica) {
    load(replica).onEnded();
  }

  /**
   * Takes a replica's own report of its load.
   *
   * @param replica the replica, not null
   * @param runningAndWaiting requests at the replica
   * @param now current time
   */
  public void onReport(UpstreamReplica replica, int runningAndWaiting, long now) {
    load(replica).onReport(runningAndWaiting, now);
  }

  /**
   * Counts a sound answer.
   *
   * @param replica the replica, not null
   * @param millis time until the answer in milliseconds
   */
  public void onValidResponse(UpstreamReplica replica, double millis) {
    load(replica).onValidResponse(millis);
  }

  /** Counts an answer that says that the request failed at the replica. */
  public void onFailureResponse(UpstreamReplica replica) {
    load(replica).onFailureResponse();
  }

  /**
   * Counts a request that could not be sent or got no usable answer.
   *
   * @param replica the replica, not null
   * @param now current time
   */
  public void onNoResponse(UpstreamReplica replica, long now) {
    load(replica).onNoResponse(now);
  }
}
