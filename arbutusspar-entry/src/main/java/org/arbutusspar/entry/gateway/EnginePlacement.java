package org.arbutusspar.entry.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.arbutusspar.core.peer.ActiveRoles;
import org.arbutusspar.core.peer.PeerTable;
import org.arbutusspar.core.placement.CrashingPartDetector;
import org.arbutusspar.core.placement.EngineChooser;
import org.arbutusspar.core.placement.EngineDecision;
import org.arbutusspar.core.placement.EngineDemand;
import org.arbutusspar.core.placement.EnginePlacer;
import org.arbutusspar.core.placement.ObservedSpeeds;
import org.arbutusspar.core.placement.ReplicaRegistry;
import org.arbutusspar.core.placement.ReplicaSpeeds;
import org.arbutusspar.core.placement.RequestIdentity;
import org.arbutusspar.core.placement.StatedLoad;
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
 * <p>Where callers compete for capacity, requests that find no room wait at the placer. This
 * instance keeps its request meanwhile, with its deadline, and asks again at a regular interval. If
 * the placer does not respond, its connection is lost or the role moves, this instance gives up its
 * place in that queue and asks the new placer, or chooses itself.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class EnginePlacement {

  /** Maximum wait for the response of a remote placer, in milliseconds. */
  private static final long RESPONSE_TIMEOUT_MILLIS = 60;

  /**
   * Maximum wait for the response of a remote placer at which the request waits, in milliseconds.
   * It is longer, since a request that waits there usually finds no room elsewhere.
   */
  private static final long WAITING_RESPONSE_TIMEOUT_MILLIS = 250;

  /** Interval at which an instance asks again for a request that waits, in milliseconds. */
  private static final long ASK_AGAIN_MILLIS = 200;

  /**
   * Interval at which a placer looks for room that came free without a message, such as a permit,
   * while requests wait, in milliseconds.
   */
  private static final long SETTLE_INTERVAL_MILLIS = 20;

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
  private final EventLoop loop;
  private final BlockList blocks;
  private final EventLog log;
  private final boolean contended;
  private final BiFunction<String, ReplicaSpeeds, EngineChooser> newChooser;
  private final Map<String, CrashingPartDetector> detectors = new HashMap<>();
  private final Map<String, EngineChooser> choosers = new HashMap<>();

  /** Speeds of the replicas for whose services this instance is the placer. */
  private final ObservedSpeeds speeds = ObservedSpeeds.create();

  /** Lasting speeds that were logged last, by identifier of the replica. */
  private final Map<String, Double> loggedSpeeds = new HashMap<>();

  private final ActiveRoles activeRoles = ActiveRoles.create();
  private final Map<String, PendingRequest> pendingRequests = new HashMap<>();

  /** Name of the instance that placed or is to place a request, by the request's identifier. */
  private final Map<String, String> placerOfRequest = new HashMap<>();

  /** Receivers of the decisions on requests of this instance that wait here, by identifier. */
  private final Map<String, Consumer<EngineDecision>> waitingHere = new HashMap<>();

  private boolean settleScheduled;

  EnginePlacement(
      PeerTable peers,
      PeerNetwork peerNetwork,
      ReplicaRegistry replicas,
      EventLoop loop,
      BlockList blocks,
      EventLog log,
      boolean contended,
      BiFunction<String, ReplicaSpeeds, EngineChooser> newChooser) {
    this.peers = peers;
    this.peerNetwork = peerNetwork;
    this.replicas = replicas;
    this.loop = loop;
    this.blocks = blocks;
    this.log = log;
    this.contended = contended;
    this.newChooser = newChooser;
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
    choosers.forEach((service, chooser) -> chooser.replicas(replicas.notLeaving(service)));
    List.copyOf(choosers.keySet()).forEach(this::settle);
  }

  /** Returns whether requests that find no room wait, because callers compete for capacity. */
  boolean isContended() {
    return contended;
  }

  /** Returns the number of requests that wait here, by service. */
  Map<String, Integer> waiting() {
    Map<String, Integer> waiting = new HashMap<>();
    choosers.forEach((service, chooser) -> waiting.put(service, chooser.waiting()));
    return waiting;
  }

  /** Returns the expected wait of a further request here in milliseconds, by service. */
  Map<String, Integer> expectedWaitMillis() {
    Map<String, Integer> waits = new HashMap<>();
    choosers.forEach(
        (service, chooser) -> waits.put(service, (int) chooser.expectedWaitMillis(loop.now())));
    return waits;
  }

  /**
   * Chooses a replica for a request, by a remote placer or here.
   *
   * @param service name of the engine's service, not null
   * @param request properties of the request, not null
   * @param found called with the replica, or with a rejection if no replica has room or a prompt
   *     part is blocked; called before this method returns if this is decided here at once; not
   *     called if the request ends before
   */
  void find(String service, EnginePlacer.EngineRequest request, Consumer<EngineDecision> found) {
    String placerName = peers.roleHolder(role(service), loop.now());
    boolean sent =
        !placerName.equals(peers.self().name())
            && peerNetwork.send(placerName, new PeerMessage.PlaceRequest(service, request));
    if (!sent) {
      activeRoles.markUsed(role(service), loop.now());
      placerOfRequest.put(request.id(), peers.self().name());
      decideHere(service, request, found);
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
      decideHere(pending.service, pending.request, pending.found);
    }
  }

  /** Decides on a request of this instance here, now or when it has waited. */
  private void decideHere(
      String service, EnginePlacer.EngineRequest request, Consumer<EngineDecision> found) {
    EngineDecision decision = ask(service, request);
    if (decision.state() == EngineDecision.State.WAITING) {
      if (waitingHere.put(request.id(), found) == null) {
        logWait(service, request, peers.self().name(), decision.millis());
      }
      loop.after(ASK_AGAIN_MILLIS, () -> askAgainHere(service, request, found));
    } else {
      waitingHere.remove(request.id());
      found.accept(decision);
    }
    settle(service);
  }

  private void askAgainHere(
      String service, EnginePlacer.EngineRequest request, Consumer<EngineDecision> found) {
    if (waitingHere.get(request.id()) != found) {
      return;
    }
    if (peers.roleHolder(role(service), loop.now()).equals(peers.self().name())) {
      decideHere(service, request, found);
    } else {
      waitingHere.remove(request.id());
      chooser(service).onEnded(request.id(), true, loop.now());
      find(service, request, found);
    }
  }

  /**
   * Asks again for a request that waits at the placer. If another instance holds the role by now,
   * the request leaves the queue and is decided anew.
   */
  private void askAgain(PendingRequest pending) {
    if (pendingRequests.get(pending.request.id()) != pending) {
      return;
    }
    String holder = peers.roleHolder(role(pending.service), loop.now());
    boolean asked =
        holder.equals(pending.placerName)
            && peerNetwork.send(
                holder, new PeerMessage.PlaceRequest(pending.service, pending.request));
    if (asked) {
      pending.timer = loop.after(WAITING_RESPONSE_TIMEOUT_MILLIS, () -> placeLocally(pending));
    } else {
      decideAnew(pending);
    }
  }

  private void decideAnew(PendingRequest pending) {
    pending.timer.cancel();
    pendingRequests.remove(pending.request.id());
    peerNetwork.send(
        pending.placerName,
        new PeerMessage.PlacementUpdate(
            pending.service, pending.request.id(), PeerMessage.RunState.ENDED, ""));
    find(pending.service, pending.request, pending.found);
  }

  /** Returns the name of the instance that chose the replica of a request, "-" if none did. */
  String placerOf(String requestId) {
    return placerOfRequest.getOrDefault(requestId, "-");
  }

  private EngineDecision ask(String service, EnginePlacer.EngineRequest request) {
    if (blocks.findBlocked(request.sharedParts()).isPresent()) {
      return EngineDecision.rejected(0);
    }
    EngineDecision decision = chooser(service).ask(request, loop.now());
    decision.replica().ifPresent(replica -> onPlaced(service, request, replica));
    return decision;
  }

  private void onPlaced(
      String service, EnginePlacer.EngineRequest request, UpstreamReplica replica) {
    detector(service).onPlaced(request.id(), request.sharedParts(), replica, loop.now());
  }

  /** Passes on the decisions on requests that no longer wait here, and looks again later. */
  private void settle(String service) {
    EngineChooser chooser = chooser(service);
    for (EngineChooser.Settled settled : chooser.settle(loop.now())) {
      settled.decision().replica().ifPresent(r -> onPlaced(service, settled.request(), r));
      logSettled(service, settled);
      tell(settled.request(), settled.decision());
    }
    if (chooser.waiting() > 0 && !settleScheduled) {
      settleScheduled = true;
      loop.after(SETTLE_INTERVAL_MILLIS, this::settleAll);
    }
  }

  private void settleAll() {
    settleScheduled = false;
    List.copyOf(choosers.keySet()).forEach(this::settle);
  }

  /** Tells the instance that asked for a request how it is decided. */
  private void tell(EnginePlacer.EngineRequest request, EngineDecision decision) {
    if (!request.origin().equals(peers.self().name())) {
      peerNetwork.send(request.origin(), response(request.id(), decision));
      return;
    }
    Consumer<EngineDecision> found = waitingHere.remove(request.id());
    if (found != null) {
      found.accept(decision);
    }
  }

  private static PeerMessage.PlaceResponse response(String requestId, EngineDecision decision) {
    return new PeerMessage.PlaceResponse(
        requestId,
        decision.replica().map(UpstreamReplica::id).orElse(""),
        decision.state() == EngineDecision.State.WAITING,
        decision.millis());
  }

  private void logSettled(String service, EngineChooser.Settled settled) {
    boolean placed = settled.decision().replica().isPresent();
    log.write(
        placed ? "placed-after-wait" : "wait-ended",
        "id",
        settled.request().id(),
        "service",
        service,
        "reason",
        settled.reason(),
        "rank",
        rank(settled.request()),
        "origin",
        settled.request().origin(),
        "forecast_ms",
        settled.forecastMillis(),
        "waited_ms",
        settled.waitedMillis());
  }

  private CrashingPartDetector detector(String service) {
    return detectors.computeIfAbsent(service, name -> CrashingPartDetector.create());
  }

  private EngineChooser chooser(String service) {
    return choosers.computeIfAbsent(
        service,
        name -> {
          EngineChooser chooser = newChooser.apply(name, speeds);
          chooser.replicas(replicas.notLeaving(name));
          return chooser;
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
    report(service, requestId, state, Optional.empty());
  }

  /**
   * Reports a state change of a placed request to its placer, with the load of the replica where
   * callers compete for it.
   *
   * @param service name of the engine's service, not null
   * @param requestId identifier of the request, not null
   * @param state the new state, not null
   * @param load load that the replica has stated, not null
   */
  void report(
      String service, String requestId, PeerMessage.RunState state, Optional<StatedLoad> load) {
    sendUpdate(
        new PeerMessage.PlacementUpdate(
            service, requestId, state, "", Optional.empty(), statedRequests(load)));
  }

  private OptionalInt statedRequests(Optional<StatedLoad> load) {
    return contended && load.isPresent()
        ? OptionalInt.of(load.get().runningAndWaiting())
        : OptionalInt.empty();
  }

  /**
   * Reports to the placer of a request that the response has started.
   *
   * @param service name of the engine's service, not null
   * @param requestId identifier of the request, not null
   * @param observation how long the replica took; empty if it does not state how long work takes
   * @param load load that the replica has stated, not null
   */
  void reportStarted(
      String service,
      String requestId,
      Optional<WorkObservation> observation,
      Optional<StatedLoad> load) {
    sendUpdate(
        new PeerMessage.PlacementUpdate(
            service, requestId, PeerMessage.RunState.BEGUN, "", observation, statedRequests(load)));
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
    if (hasEnded) {
      stopWaiting(requestId);
    }
    if (placerName.equals(peers.self().name())) {
      onStateChange(update);
    } else {
      peerNetwork.send(placerName, update);
    }
  }

  /** Forgets a request of this instance that waits, here or at another placer. */
  private void stopWaiting(String requestId) {
    waitingHere.remove(requestId);
    PendingRequest pending = pendingRequests.get(requestId);
    if (pending != null && pending.waiting) {
      pending.timer.cancel();
      pendingRequests.remove(requestId);
    }
  }

  /** Applies a state change to the placer of this instance. */
  private void onStateChange(PeerMessage.PlacementUpdate update) {
    String service = update.service();
    String requestId = update.requestId();
    PeerMessage.RunState state = update.state();
    EngineChooser chooser = chooser(service);
    update
        .statedRequests()
        .ifPresent(requests -> chooser.onStatedLoad(requestId, requests, loop.now()));
    if (state == PeerMessage.RunState.BEGUN) {
      update.observation().ifPresent(observation -> learnSpeed(service, requestId, observation));
      chooser.onResponseStarted(requestId, loop.now());
    } else {
      boolean failed =
          state == PeerMessage.RunState.BROKEN || state == PeerMessage.RunState.CRASHED;
      chooser.onEnded(requestId, !failed, loop.now());
    }
    settle(service);
    CrashingPartDetector detector = detector(service);
    CrashingPartDetector.Findings findings = findings(detector, update);
    findings.crashing().forEach(part -> blocks.block(part, detector.crashedReplicas(part)));
    findings.cleared().forEach(blocks::permit);
  }

  private void learnSpeed(String service, String requestId, WorkObservation observation) {
    chooser(service)
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
    return choosers.keySet().stream()
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
      peerNetwork.send(name, response(place.request().id(), ask(place.service(), place.request())));
      settle(place.service());
    } else if (message instanceof PeerMessage.PlaceResponse response) {
      onResponse(name, response);
    } else if (message instanceof PeerMessage.PlacementUpdate update) {
      onStateChange(update);
    }
  }

  private void onResponse(String name, PeerMessage.PlaceResponse response) {
    PendingRequest pending = pendingRequests.get(response.requestId());
    if (pending == null || !pending.placerName.equals(name)) {
      return;
    }
    pending.timer.cancel();
    if (response.waiting()) {
      if (!pending.waiting) {
        logWait(pending.service, pending.request, name, response.millis());
      }
      pending.waiting = true;
      pending.timer = loop.after(ASK_AGAIN_MILLIS, () -> askAgain(pending));
      return;
    }
    pendingRequests.remove(response.requestId());
    pending.found.accept(
        replicas
            .find(response.replicaId())
            .map(EngineDecision::placed)
            .orElseGet(() -> EngineDecision.rejected(response.millis())));
  }

  private void logWait(
      String service, EnginePlacer.EngineRequest request, String placerName, long waitMillis) {
    log.write(
        "waits-for-engine",
        "id",
        request.id(),
        "service",
        service,
        "rank",
        rank(request),
        "placer",
        placerName,
        "forecast_ms",
        waitMillis);
  }

  private static int rank(EnginePlacer.EngineRequest request) {
    return request.demand().map(EngineDemand::rank).orElse(0);
  }

  /**
   * Handles the loss of the connection to a peer: its requests no longer count as in flight, and
   * requests that wait there are decided anew.
   *
   * @param name name of the peer, not null
   */
  void onDown(String name) {
    choosers.values().forEach(chooser -> chooser.removeOrigin(name, loop.now()));
    List.copyOf(choosers.keySet()).forEach(this::settle);
    List.copyOf(pendingRequests.values()).stream()
        .filter(pending -> pending.waiting && pending.placerName.equals(name))
        .forEach(this::decideAnew);
  }

  /** A request for which the response of a remote placer is outstanding. */
  private static final class PendingRequest {
    private final String service;
    private final EnginePlacer.EngineRequest request;
    private final String placerName;
    private final Consumer<EngineDecision> found;
    private EventLoop.Timer timer;

    /** Whether the placer has responded that the request waits. */
    private boolean waiting;

    private PendingRequest(
        String service,
        EnginePlacer.EngineRequest request,
        String placerName,
        Consumer<EngineDecision> found) {
      this.service = service;
      this.request = request;
      this.placerName = placerName;
      this.found = found;
    }
  }
}
