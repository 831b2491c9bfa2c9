package org.arbutusspar.entry.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import org.arbutusspar.core.peer.ActiveRoles;
import org.arbutusspar.core.peer.PeerTable;
import org.arbutusspar.core.placement.CrashingPartDetector;
import org.arbutusspar.core.placement.EnginePlacer;
import org.arbutusspar.core.placement.ObservedSpeeds;
import org.arbutusspar.core.placement.ReplicaPace;
import org.arbutusspar.core.placement.ReplicaRegistry;
import org.arbutusspar.core.placement.RequestIdentity;
import org.arbutusspar.core.placement.SendPermits;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.placement.WorkObservation;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.link.PeerMessage;

/**
 * Chooses replicas of model engines for requests, and of other services while one of their replicas
 * limits its request rate, or if they state how long work takes. For each service, one instance,
 * the placer, chooses for the requests of all instances, so that it knows the load of each replica.
 * If the placer is unreachable or does not respond in time, this instance chooses instead, from
 * replicas without a limit. The placer also finds prompt parts that crash engines, and chooses no
 * replica for a request with a blocked part.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class EnginePlacement {

  /** Maximum wait for the response of a remote placer, in milliseconds. */
  private static final long RESPONSE_TIMEOUT_MILLIS = 60;

  private static final double PERCENT = 100;

  /** Ratio by which the lasting speed of a replica must change to be logged again. */
  private static final double LOGGED_SPEED_RATIO = 1.3;

  /** Maximum number of replicas whose speeds are reported as metrics. */
  private static final int MAX_REPORTED_SPEEDS = 200;

  /** Prefix of a placer's role name; the name of the service follows. */
  private static final String ROLE_PREFIX = "place/";

  private final PeerTable peers;
  private final PeerNetwork peerNetwork;
  private final ReplicaRegistry replicas;
  private final SendPermits permits;
  private final ReplicaPace pace;
  private final EventLoop loop;
  private final BlockList blocks;
  private final EventLog log;
  private final Map<String, CrashingPartDetector> detectors = new HashMap<>();
  private final Map<String, EnginePlacer> placers = new HashMap<>();

  /** Speeds of the replicas for whose services this instance is the placer. */
  private final ObservedSpeeds speeds = ObservedSpeeds.create();

  /** Lasting speeds that were logged last, by identifier of the replica. */
  private final Map<String, Double> loggedSpeeds = new HashMap<>();

  private final ActiveRoles activeRoles = ActiveRoles.create();
  private final Map<String, PendingRequest> pendingRequests = new HashMap<>();

  /** Name of the instance that placed or is to place a request, by the request's identifier. */
  private final Map<String, String> placerOfRequest = new HashMap<>();

  EnginePlacement(
      PeerTable peers,
      PeerNetwork peerNetwork,
      ReplicaRegistry replicas,
      SendPermits permits,
      ReplicaPace pace,
      EventLoop loop,
      BlockList blocks,
      EventLog log) {
    this.peers = peers;
    this.peerNetwork = peerNetwork;
    this.replicas = replicas;
    this.permits = permits;
    this.pace = pace;
    this.loop = loop;
    this.blocks = blocks;
    this.log = log;
  }

  /** Returns the name of the role of the placer of a service. */
  static String role(String service) {
    return ROLE_PREFIX + service;
  }

  /** Returns the names of the placer roles that this instance holds. */
  Set<String> activeRoles() {
    return activeRoles.roles(loop.now());
  }

  /** Passes the changed list of replicas to the placers. */
  void onReplicas() {
    placers.forEach((service, placer) -> placer.replicas(replicas.notLeaving(service)));
  }

  /**
   * Chooses a replica for a request, by a remote placer or here.
   *
   * @param service name of the engine's service, not null
   * @param request properties of the request, not null
   * @param found called with the replica, or with empty if every permitted replica is at capacity
   *     or a prompt part is blocked; called before this method returns if the request is placed
   *     here at once
   */
  void find(
      String service,
      EnginePlacer.EngineRequest request,
      Consumer<Optional<UpstreamReplica>> found) {
    String placerName = peers.roleHolder(role(service), loop.now());
    boolean sent =
        !placerName.equals(peers.self().name())
            && peerNetwork.send(placerName, new PeerMessage.PlaceRequest(service, request));
    if (!sent) {
      activeRoles.markUsed(role(service), loop.now());
      placerOfRequest.put(request.id(), peers.self().name());
      found.accept(place(service, request));
      return;
    }
    placerOfRequest.put(request.id(), placerName);
    PendingRequest pending = new PendingRequest(service, request, placerName, found);
    pendingRequests.put(request.id(), pending);
    pending.timer = loop.after(RESPONSE_TIMEOUT_MILLIS, () -> placeLocally(pending));
  }

  /**
   * Places a request here after the placer's response timed out; a late response is ignored. The
   * placer, which counts the request as in flight once it has handled the message, is notified that
   * the request is not.
   */
  private void placeLocally(PendingRequest pending) {
    if (pendingRequests.remove(pending.request.id(), pending)) {
      peerNetwork.send(
          pending.placerName,
          new PeerMessage.PlacementUpdate(
              pending.service, pending.request.id(), PeerMessage.RunState.ENDED, ""));
      placerOfRequest.put(pending.request.id(), peers.self().name());
      pending.found.accept(place(pending.service, pending.request));
    }
  }

  /** Returns the name of the instance that chose the replica of a request, "-" if none did. */
  String placerOf(String requestId) {
    return placerOfRequest.getOrDefault(requestId, "-");
  }

  private Optional<UpstreamReplica> place(String service, EnginePlacer.EngineRequest request) {
    if (blocks.findBlocked(request.sharedParts()).isPresent()) {
      return Optional.empty();
    }
    Optional<UpstreamReplica> replica = placer(service).place(request, loop.now());
    replica.ifPresent(
        r -> detector(service).onPlaced(request.id(), request.sharedParts(), r, loop.now()));
    return replica;
  }

  private CrashingPartDetector detector(String service) {
    return detectors.computeIfAbsent(service, name -> CrashingPartDetector.create());
  }

  private EnginePlacer placer(String service) {
    return placers.computeIfAbsent(
        service,
        name -> {
          EnginePlacer placer = EnginePlacer.create(permits, pace, speeds);
          placer.replicas(replicas.notLeaving(name));
          return placer;
        });
  }

  /**
   * Reports a state change of a placed request to its placer.
   *
   * @param service name of the engine's service, not null
   * @param requestId identifier of the request, not null
   * @param state the new state, not null
   */
  void report(String service, String requestId, PeerMessage.RunState state) {
    sendUpdate(new PeerMessage.PlacementUpdate(service, requestId, state, ""));
  }

  /**
   * Reports to the placer of a request that the response has started.
   *
   * @param service name of the engine's service, not null
   * @param requestId identifier of the request, not null
   * @param observation how long the replica took; empty if it does not state how long work takes
   */
  void reportStarted(String service, String requestId, Optional<WorkObservation> observation) {
    sendUpdate(
        new PeerMessage.PlacementUpdate(
            service, requestId, PeerMessage.RunState.BEGUN, "", observation));
  }

  /**
   * Reports to the placer of a request that the connection to the replica broke.
   *
   * @param service name of the engine's service, not null
   * @param requestId identifier of the request, not null
   * @param subject subject of the request, see {@link RequestIdentity#subject()}, not null
   */
  void reportCrash(String service, String requestId, String subject) {
    sendUpdate(
        new PeerMessage.PlacementUpdate(service, requestId, PeerMessage.RunState.CRASHED, subject));
  }

  private void sendUpdate(PeerMessage.PlacementUpdate update) {
    String requestId = update.requestId();
    boolean hasEnded = update.state() != PeerMessage.RunState.BEGUN;
    String placerName =
        hasEnded ? placerOfRequest.remove(requestId) : placerOfRequest.get(requestId);
    if (placerName == null) {
      return;
    }
    if (placerName.equals(peers.self().name())) {
      onStateChange(update);
    } else {
      peerNetwork.send(placerName, update);
    }
  }

  /** Applies a state change to the placer of this instance. */
  private void onStateChange(PeerMessage.PlacementUpdate update) {
    String service = update.service();
    String requestId = update.requestId();
    PeerMessage.RunState state = update.state();
    if (state == PeerMessage.RunState.BEGUN) {
      update.observation().ifPresent(observation -> learnSpeed(service, requestId, observation));
      placer(service).onResponseStarted(requestId, loop.now());
    } else {
      boolean failed =
          state == PeerMessage.RunState.BROKEN || state == PeerMessage.RunState.CRASHED;
      placer(service).onEnded(requestId, !failed, loop.now());
    }
    CrashingPartDetector detector = detector(service);
    CrashingPartDetector.Findings findings = findings(detector, update);
    findings.crashing().forEach(part -> blocks.block(part, detector.crashedReplicas(part)));
    findings.cleared().forEach(blocks::permit);
  }

  private void learnSpeed(String service, String requestId, WorkObservation observation) {
    placer(service)
        .workBeforeResponse(requestId)
        .ifPresent(
            work -> {
              speeds.onWork(
                  work.replica(),
                  work.expectedMillis(),
                  observation.responseMillis(),
                  OptionalInt.of(observation.workPercent()),
                  loop.now());
              speeds.onStated(work.replica(), observation.workPercent(), loop.now());
            });
  }

  /** Logs the lasting speeds of replicas that have changed, for the services placed here. */
  void logSpeeds() {
    List<UpstreamReplica> replicasWithSpeed = replicasWithSpeed();
    loggedSpeeds.keySet().retainAll(replicasWithSpeed.stream().map(UpstreamReplica::id).toList());
    for (UpstreamReplica replica : replicasWithSpeed) {
      double speed = speeds.lastingSpeed(replica, loop.now());
      double ratio = speed / loggedSpeeds.getOrDefault(replica.id(), 1.0);
      if (ratio >= LOGGED_SPEED_RATIO || ratio <= 1 / LOGGED_SPEED_RATIO) {
        loggedSpeeds.put(replica.id(), speed);
        log.write(
            "replica-speed",
            "service",
            replica.service(),
            "replica",
            replica.id(),
            "percent",
            Math.round(PERCENT * speed));
      }
    }
  }

  /** Returns the speeds of replicas in percent by their identifiers, for services placed here. */
  Map<String, Integer> speedPercents() {
    Map<String, Integer> percents = new HashMap<>();
    for (UpstreamReplica replica : replicasWithSpeed()) {
      double speed = speeds.relativeSpeed(replica, loop.now());
      percents.put(replica.id(), (int) Math.round(PERCENT * speed));
    }
    return percents;
  }

  private List<UpstreamReplica> replicasWithSpeed() {
    Set<String> roles = activeRoles();
    return placers.keySet().stream()
        .filter(service -> roles.contains(role(service)) && speeds.isStated(service))
        .flatMap(service -> replicas.notLeaving(service).stream())
        .limit(MAX_REPORTED_SPEEDS)
        .toList();
  }

  private CrashingPartDetector.Findings findings(
      CrashingPartDetector detector, PeerMessage.PlacementUpdate update) {
    String requestId = update.requestId();
    return switch (update.state()) {
      case BEGUN -> detector.onResponseStarted(requestId, loop.now());
      case COMPLETED -> detector.onCompleted(requestId, loop.now());
      case CRASHED -> detector.onBroken(requestId, update.subject(), loop.now());
      case ENDED, BROKEN -> detector.onEnded(requestId);
    };
  }

  /**
   * Handles a message from a peer. Messages that do not concern placement are ignored.
   *
   * @param name name of the peer, not null
   * @param message the message, not null
   */
  void onMessage(String name, PeerMessage message) {
    if (message instanceof PeerMessage.PlaceRequest place) {
      activeRoles.markUsed(role(place.service()), loop.now());
      Optional<UpstreamReplica> replica = place(place.service(), place.request());
      String replicaId = replica.map(UpstreamReplica::id).orElse("");
      peerNetwork.send(name, new PeerMessage.PlaceResponse(place.request().id(), replicaId));
    } else if (message instanceof PeerMessage.PlaceResponse response) {
      PendingRequest pending = pendingRequests.remove(response.requestId());
      if (pending != null) {
        pending.timer.cancel();
        pending.found.accept(replicas.find(response.replicaId()));
      }
    } else if (message instanceof PeerMessage.PlacementUpdate update) {
      onStateChange(update);
    }
  }

  /**
   * Handles the loss of the connection to a peer: its requests no longer count as in flight.
   *
   * @param name name of the peer, not null
   */
  void onDown(String name) {
    placers.values().forEach(placer -> placer.removeOrigin(name, loop.now()));
  }

  /** A request for which the response of a remote placer is outstanding. */
  private static final class PendingRequest {
    private final String service;
    private final EnginePlacer.EngineRequest request;
    private final String placerName;
    private final Consumer<Optional<UpstreamReplica>> found;
    private EventLoop.Timer timer;

    private PendingRequest(
        String service,
        EnginePlacer.EngineRequest request,
        String placerName,
        Consumer<Optional<UpstreamReplica>> found) {
      this.service = service;
      this.request = request;
      this.placerName = placerName;
      this.found = found;
    }
  }
}
