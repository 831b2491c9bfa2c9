package org.arbutusspar.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;

/** Registry of the listed replicas of all services, with their load and health. */
public final class ReplicaRegistry {

  /**
   * Weight of failures in the cost of a replica: its relative time is multiplied by one plus this
   * factor times its failure share.
   */
  private static final double FAILURE_COST_FACTOR = 8;

  /** Number of queued requests per slot at which a replica is at capacity. */
  private static final double QUEUE_PER_SLOT = 1;

  /**
   * Maximum share of a service's replicas that is skipped during cooldowns. If more are cooling
   * down, cooldowns are ignored.
   */
  private static final double MAX_COOLING_DOWN_SHARE = 0.5;

  /** Expected response time; the requests of a service are taken for equal. */
  private static final double EXPECTED_MILLIS = 1;

  /**
   * Smallest share of the speed of the fastest replica at which another one is taken for equally
   * fast. Instances that choose alone thus avoid slow replicas, but do not all rush to the one that
   * was the fastest a moment ago.
   */
  private static final double SIMILAR_SPEED_SHARE = 0.6;

  private final ObservedSpeeds speeds = ObservedSpeeds.create();
  private Map<String, List<UpstreamReplica>> byService = Map.of();
  private Map<String, UpstreamReplica> byId = Map.of();
  private Map<Endpoint, UpstreamReplica> byEndpoint = Map.of();
  private final Map<String, ReplicaLoad> loads = new HashMap<>();
  private final ReplicaPace pace;
  private final ReplicaAvailability availability = ReplicaAvailability.create();
  private Collection<UpstreamReplica> lastListed = List.of();

  /** Identifiers of replicas that leave by their own word but not by the list, by service. */
  private Map<String, Set<String>> leavingUnlisted = Map.of();

  private Set<DataCentre> evacuatedDataCentres = Set.of();

  /** Identifiers of replicas that are not leaving, in evacuated data centres, by service. */
  private Map<String, Set<String>> evacuated = Map.of();

  private ReplicaRegistry(ReplicaPace pace) {
    this.pace = pace;
  }

  /** Returns a registry without replicas that paces none. */
  public static ReplicaRegistry create() {
    return create(ReplicaPace.NONE);
  }

  /**
   * Returns a registry without replicas.
   *
   * @param pace pace of replicas that start or recover, not null
   * @return the registry
   */
  public static ReplicaRegistry create(ReplicaPace pace) {
    return new ReplicaRegistry(Objects.requireNonNull(pace, "pace"));
  }

  /**
   * Replaces the listed replicas. The load of a removed replica is kept until its last request
   * ends. A replica that was listed as leaving once is leaving for as long as it runs, whatever a
   * later list says.
   *
   * @param listed all replicas, including those that are leaving, not null
   */
  public void replace(Collection<UpstreamReplica> listed) {
    lastListed = List.copyOf(listed);
    availability.onListed(listed);
    Map<String, Set<String>> unlisted = new HashMap<>();
    listed.stream()
        .filter(replica -> !replica.leaving() && availability.isLeaving(replica))
        .forEach(
            replica ->
                unlisted
                    .computeIfAbsent(replica.service(), s -> new HashSet<>())
                    .add(replica.id()));
    leavingUnlisted = unlisted;
    index(
        listed.stream()
            .map(replica -> availability.isLeaving(replica) ? replica.asLeaving() : replica)
            .toList());
  }

  private void index(Collection<UpstreamReplica> listed) {
    Map<String, List<UpstreamReplica>> grouped = new LinkedHashMap<>();
    Map<String, UpstreamReplica> ids = new LinkedHashMap<>();
    Map<String, ReplicaLoad> knownLoads = new HashMap<>();
    Map<String, Set<String>> evacuatedIds = new HashMap<>();
    for (UpstreamReplica replica : listed) {
      if (!replica.leaving() && isEvacuated(replica)) {
        evacuatedIds.computeIfAbsent(replica.service(), s -> new HashSet<>()).add(replica.id());
      } else if (!replica.leaving()) {
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
    evacuated = evacuatedIds;
    byId = ids;
    Map<Endpoint, UpstreamReplica> endpoints = new HashMap<>();
    listed.forEach(replica -> endpoints.put(replica.endpoint(), replica));
    byEndpoint = endpoints;
  }

  /**
   * Replaces the data centres whose replicas get nothing new.
   *
   * @param dataCentres the evacuated data centres, not null
   */
  public void evacuate(Set<DataCentre> dataCentres) {
    evacuatedDataCentres = Set.copyOf(dataCentres);
    replace(lastListed);
  }

  /** Returns whether a replica runs in a data centre that is evacuated. */
  public boolean isEvacuated(UpstreamReplica replica) {
    return evacuatedDataCentres.contains(replica.dataCentre());
  }

  /** Returns whether all replicas of a service that are not leaving are evacuated. */
  public boolean isEvacuated(String service) {
    return evacuated.containsKey(service) && notLeaving(service).isEmpty();
  }

  /** Returns the identifiers of the evacuated replicas of a service that are not leaving. */
  public Set<String> evacuated(String service) {
    return evacuated.getOrDefault(service, Set.of());
  }

  /** Returns the listed replicas in some data centres, leaving or not. */
  public List<UpstreamReplica> listedIn(Set<DataCentre> dataCentres) {
    return lastListed.stream()
        .filter(replica -> dataCentres.contains(replica.dataCentre()))
        .toList();
  }

  /** Returns the listed replica with an identifier, leaving or not, or empty if there is none. */
  public Optional<UpstreamReplica> find(String id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns the listed replica at an endpoint, or empty if there is none. */
  public Optional<UpstreamReplica> findAt(Endpoint endpoint) {
    return Optional.ofNullable(byEndpoint.get(endpoint));
  }

  /** Returns the data centre of the listed replica at an endpoint, or empty if there is none. */
  public Optional<DataCentre> dataCentre(Endpoint endpoint) {
    return findAt(endpoint).map(UpstreamReplica::dataCentre);
  }

  /**
   * Returns the number of listed replicas by state.
   *
   * @param now current monotonic time, in nanoseconds
   * @return counts by "leaving", "evacuated", "resting" (cooling down after failures) and "usable"
   *     (others); states without replicas are absent
   */
  public Map<String, Integer> countByState(long now) {
    Map<String, Integer> counts = new HashMap<>();
    for (UpstreamReplica replica : byId.values()) {
      counts.merge(state(replica, now), 1, Integer::sum);
    }
    return counts;
  }

  private String state(UpstreamReplica replica, long now) {
    if (replica.leaving()) {
      return "leaving";
    }
    if (isEvacuated(replica)) {
      return "evacuated";
    }
    return load(replica).isCoolingDown(now) ? "resting" : "usable";
  }

  /** Returns the replicas of this registry that are missing from a newer list. */
  public List<UpstreamReplica> missingFrom(Collection<UpstreamReplica> current) {
    Set<String> ids = new HashSet<>();
    current.forEach(replica -> ids.add(replica.id()));
    return byId.values().stream().filter(replica -> !ids.contains(replica.id())).toList();
  }

  /** Returns what {@link #notLeaving(String)} returns for all services together. */
  public List<UpstreamReplica> notLeaving() {
    return byService.values().stream().flatMap(List::stream).toList();
  }

  /**
   * Returns the listed replicas of a service that are not leaving, cooling down or not, except
   * those in evacuated data centres.
   */
  public List<UpstreamReplica> notLeaving(String service) {
    return byService.getOrDefault(service, List.of());
  }

  /**
   * Records that a replica has announced its shutdown in a response.
   *
   * @param replica the replica, not null
   * @return whether this was not known
   */
  public boolean onLeaving(UpstreamReplica replica) {
    boolean changed = availability.onLeaving(replica);
    if (changed) {
      replace(lastListed);
    }
    return changed;
  }

  /**
   * Records that a replica wants no requests for some time.
   *
   * @param replica the replica, not null
   * @param millis the time in milliseconds
   * @param now current monotonic time, in nanoseconds
   */
  public void onBackoff(UpstreamReplica replica, long millis, long now) {
    availability.onBackoff(replica, millis, now);
  }

  /**
   * Returns whether a replica wants no requests now.
   *
   * @param replica the replica, not null
   * @param now current monotonic time, in nanoseconds
   * @return true if it has asked for a pause that has not ended
   */
  public boolean isBackingOff(UpstreamReplica replica, long now) {
    return availability.isBackingOff(replica, now);
  }

  /**
   * Returns whether a replica may be sent a new request.
   *
   * @param replica the replica, not null
   * @param now current monotonic time, in nanoseconds
   * @return false if it has announced its shutdown in a response, asked for a pause that has not
   *     ended, or runs in an evacuated data centre
   */
  public boolean mayReceive(UpstreamReplica replica, long now) {
    return !isEvacuated(replica)
        && !availability.isLeaving(replica)
        && !availability.isBackingOff(replica, now);
  }

  /**
   * Returns the identifiers of the replicas of a service that may not be sent new requests although
   * the list says that they are not leaving.
   *
   * @param service name of the service, not null
   * @param now current monotonic time, in nanoseconds
   * @return the identifiers
   */
  public Set<String> unavailable(String service, long now) {
    Set<String> ids = new HashSet<>(leavingUnlisted.getOrDefault(service, Set.of()));
    if (availability.hasBackoffs()) {
      notLeaving(service).stream()
          .filter(replica -> availability.isBackingOff(replica, now))
          .forEach(replica -> ids.add(replica.id()));
    }
    return ids;
  }

  /**
   * Returns the time until a replica of a service may be sent requests again.
   *
   * @param service name of the service, not null
   * @param now current monotonic time, in nanoseconds
   * @return the time in nanoseconds, 0 if one may be sent requests now; empty if none is listed
   */
  public OptionalLong nanosUntilAvailable(String service, long now) {
    List<UpstreamReplica> listed = notLeaving(service);
    return listed.isEmpty() || availability.hasBackoffs()
        ? availability.nanosUntilAvailable(listed, now)
        : OptionalLong.of(0);
  }

  /**
   * Returns whether replicas of a service state how long work takes. One instance then chooses for
   * all, since such figures are too old by the time of the next request of a single instance.
   *
   * @param service name of the service, not null
   * @return true once one of them has
   */
  public boolean statesWorkTime(String service) {
    return speeds.isStated(service);
  }

  /**
   * Chooses a replica for a request from those with free capacity.
   *
   * @param request properties of the request, not null
   * @param placement policy that chooses among the candidates, not null
   * @param now current monotonic time, in nanoseconds
   * @return the replica, or empty if every permitted replica is at capacity
   */
  public Optional<UpstreamReplica> choose(PlacementRequest request, Placement placement, long now) {
    return choose(request, placement, QUEUE_PER_SLOT, now);
  }

  /**
   * Chooses a replica for a request from those whose queue is short enough.
   *
   * @param request properties of the request, not null
   * @param placement policy that chooses among the candidates, not null
   * @param queuePerSlot number of queued requests for each slot at which a replica is at capacity
   * @param now current monotonic time, in nanoseconds
   * @return the replica, or empty if every permitted replica is at capacity
   */
  public Optional<UpstreamReplica> choose(
      PlacementRequest request, Placement placement, double queuePerSlot, long now) {
    List<UpstreamReplica> listed =
        notLeaving(request.service()).stream()
            .filter(replica -> !request.excluded().contains(replica.id()))
            .filter(replica -> !availability.isBackingOff(replica, now))
            .toList();
    List<UpstreamReplica> healthy =
        listed.stream().filter(replica -> !load(replica).isCoolingDown(now)).toList();
    boolean enoughHealthy = healthy.size() >= listed.size() * (1 - MAX_COOLING_DOWN_SHARE);
    List<UpstreamReplica> withRoom =
        (enoughHealthy ? healthy : listed)
            .stream()
                .filter(replica -> hasCapacity(replica, queuePerSlot, now))
                .filter(replica -> load(replica).estimate(now) < pace.maxLimit(replica, now))
                .toList();
    double fastest =
        listed.stream().mapToDouble(each -> speeds.relativeSpeed(each, now)).max().orElse(1);
    List<Placement.Candidate> candidates =
        preferWithinPace(withRoom, request.repeatable(), now).stream()
            .map(replica -> candidate(replica, fastest, now))
            .toList();
    Optional<UpstreamReplica> chosen =
        placement.choose(request, candidates).map(Placement.Candidate::replica);
    chosen.ifPresent(replica -> pace.onChosen(replica, now));
    return chosen;
  }

  /**
   * Returns the replicas that are within their pace, or all if none is. A request that must not be
   * repeated tests no replica.
   */
  private List<UpstreamReplica> preferWithinPace(
      List<UpstreamReplica> withRoom, boolean repeatable, long now) {
    List<UpstreamReplica> withinPace =
        withRoom.stream()
            .filter(replica -> load(replica).estimate(now) < pace.limit(replica, now))
            .filter(replica -> repeatable || !pace.isDoubtful(replica, now))
            .toList();
    return withinPace.isEmpty() ? withRoom : withinPace;
  }

  private boolean hasCapacity(UpstreamReplica replica, double queuePerSlot, long now) {
    double capacity = Math.max(1, replica.slots()) * (1 + queuePerSlot);
    return load(replica).estimate(now) < capacity;
  }

  private Placement.Candidate candidate(UpstreamReplica replica, double fastest, long now) {
    ReplicaLoad load = load(replica);
    double time =
        speeds.isStated(replica.service())
            ? timeBySpeed(speeds.relativeSpeed(replica, now) / fastest)
            : relativeTime(replica);
    double cost = time * (1 + FAILURE_COST_FACTOR * load.failureShare());
    return new Placement.Candidate(replica, load.estimate(now), cost);
  }

  private static double timeBySpeed(double shareOfFastest) {
    return shareOfFastest >= SIMILAR_SPEED_SHARE ? 1 : 1 / shareOfFastest;
  }

  /**
   * Returns the mean response time of a replica relative to the mean of its service, at least 0.5;
   * 1 if one of them is unknown.
   */
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

  /** Counts a request that is sent to a replica. */
  public void onSent(UpstreamReplica replica) {
    load(replica).onSent();
  }

  /** Counts the end of a request at a replica, successful or not. */
  public void onEnded(UpstreamReplica replica) {
    load(replica).onEnded();
  }

  /**
   * Records a load report of a replica.
   *
   * @param replica the replica, not null
   * @param stated the load that it states, not null
   * @param now current monotonic time, in nanoseconds
   */
  public void onReport(UpstreamReplica replica, StatedLoad stated, long now) {
    load(replica).onReport(stated.runningAndWaiting(), now);
    stated.workPercent().ifPresent(percent -> speeds.onStated(replica, percent, now));
  }

  /**
   * Counts a valid response, which ends a cooldown of the replica.
   *
   * @param replica the replica, not null
   * @param millis response time in milliseconds
   * @param now current monotonic time, in nanoseconds
   */
  public void onValidResponse(UpstreamReplica replica, double millis, long now) {
    load(replica).onValidResponse(millis);
    pace.onResponse(replica, millis, EXPECTED_MILLIS, now);
  }

  /**
   * Counts a valid response to a request whose time depends on the replica more than on the
   * request.
   *
   * @param replica the replica, not null
   * @param millis response time in milliseconds
   * @param stated load that the replica states in the response, empty if it states none
   * @param now current monotonic time, in nanoseconds
   */
  public void onValidResponse(
      UpstreamReplica replica, double millis, Optional<StatedLoad> stated, long now) {
    onValidResponse(replica, millis, now);
    stated
        .map(StatedLoad::workPercent)
        .filter(OptionalInt::isPresent)
        .ifPresent(percent -> speeds.onWork(replica, 1, millis, percent, now));
  }

  /** Counts a response that reports a failure of the request at the replica. */
  public void onFailureResponse(UpstreamReplica replica) {
    load(replica).onFailureResponse();
  }

  /**
   * Counts a request that could not be sent or got no valid response, and starts a cooldown unless
   * the replica is paced, which bounds its requests instead.
   *
   * @param replica the replica, not null
   * @param sentAt time when it was to be sent
   * @param now current monotonic time, in nanoseconds
   */
  public void onNoResponse(UpstreamReplica replica, long sentAt, long now) {
    if (!pace.onFailure(replica, sentAt, now)) {
      load(replica).onNoResponse(now);
    }
  }
}
