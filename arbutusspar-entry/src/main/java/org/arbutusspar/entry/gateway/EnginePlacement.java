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
import org.arbutusspar.core.placement.EngineChooser;
import org.arbutusspar.core.placement.EngineDecision;
import org.arbutusspar.core.placement.EnginePlacer;
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

  /** Prefix of a placer's role name; the name of the service follows. */
  private static final String ROLE_PREFIX = "place/";

  private final PeerTable peers;
  private final PeerNetwork peerNetwork;
  private final ReplicaRegistry replicas;
  private final EventLoop loop;
  private final EventLog log;
  private final boolean contended;
  private final EngineChoosers choosers;
  private final ActiveRoles activeRoles = ActiveRoles.create();
  private final Map<String, PendingRequest> pendingRequests = new HashMap<>();

  /** Name of the instance that placed or is to place a request, by the request's identifier. */
  private final Map<String, String> placerOfRequest = new HashMap<>();

  /** Receivers of the decisions on requests of this instance that wait here, by identifier. */
  private final Map<String, Consumer<EngineDecision>> waitingHere = new HashMap<>();

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
    this.log = log;
    this.contended = contended;
    choosers = new EngineChoosers(replicas, loop, blocks, log, newChooser, this::tell);
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
    choosers.onReplicas();
  }

  /** Returns what chooses here for the requests of all instances. */
  EngineChoosers choosers() {
    return choosers;
  }

  /** Logs the lasting speeds of replicas that have changed, for the services placed here. */
  void logSpeeds() {
    choosers.logSpeeds(this::isPlacedHere);
  }

  /** Returns the speeds of replicas in percent by their identifiers, for services placed here. */
  Map<String, Integer> speedPercents() {
    return choosers.speedPercents(this::isPlacedHere);
  }

  private boolean isPlacedHere(String service) {
    return activeRoles().contains(role(service));
  }

  /** Returns whether requests that find no room wait, because callers compete for capacity. */
  boolean isContended() {
    return contended;
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
    EngineDecision decision = choosers.ask(service, request);
    if (decision.state() == EngineDecision.State.WAITING) {
      if (waitingHere.put(request.id(), found) == null) {
        logWait(service, request, peers.self().name(), decision.millis());
      }
      loop.after(ASK_AGAIN_MILLIS, () -> askAgainHere(service, request, found));
    } else {
      waitingHere.remove(request.id());
      found.accept(decision);
    }
    choosers.settle(service);
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
      choosers.forget(service, request.id());
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
      choosers.onStateChange(update);
    } else {
      peerNetwork.send(placerName, update);
    }
  }

  /** Forgets a request of this instance that has no place yet, here or at another placer. */
  private void stopWaiting(String requestId) {
    waitingHere.remove(requestId);
    PendingRequest pending = pendingRequests.get(requestId);
    if (pending != null) {
      pending.timer.cancel();
      pendingRequests.remove(requestId);
    }
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
      EngineDecision decision = choosers.ask(place.service(), place.request());
      peerNetwork.send(name, response(place.request().id(), decision));
      choosers.settle(place.service());
    } else if (message instanceof PeerMessage.PlaceResponse response) {
      onResponse(name, response);
    } else if (message instanceof PeerMessage.PlacementUpdate update) {
      choosers.onStateChange(update);
    }
  }

  private void onResponse(String name, PeerMessage.PlaceResponse response) {
    PendingRequest pending = pendingRequests.get(response.requestId());
    if (pending == null || !pending.placerName.equals(name)) {
      return;
    }
    if (pending.request.excluded().contains(response.replicaId())) {
      // The response to an earlier question, which crossed with a repetition of it.
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
        EngineChoosers.rank(request),
        "placer",
        placerName,
        "forecast_ms",
        waitMillis);
  }

  /**
   * Handles the loss of the connection to a peer: its requests no longer count as in flight, and
   * requests that wait there are decided anew.
   *
   * @param name name of the peer, not null
   */
  void onDown(String name) {
    choosers.removeOrigin(name);
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
