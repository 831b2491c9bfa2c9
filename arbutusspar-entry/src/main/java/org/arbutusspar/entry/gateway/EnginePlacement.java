package org.arbutusspar.entry.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.arbutusspar.core.peer.ActiveRoles;
import org.arbutusspar.core.peer.PeerTable;
import org.arbutusspar.core.placement.EnginePlacer;
import org.arbutusspar.core.placement.ReplicaRegistry;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.io.link.PeerMessage;

/**
 * Finds replicas of model engines: one instance places the requests of all for each service. If
 * that instance does not answer at once, the request is placed here. Runs on the loop.
 */
final class EnginePlacement {

  /** Longest wait for the instance that places. */
  private static final long RESPONSE_TIMEOUT_MILLIS = 60;

  /** Prefix of the name by which the instance that places for a service is chosen. */
  private static final String ROLE_PREFIX = "place/";

  private final PeerTable peers;
  private final PeerNetwork peerNetwork;
  private final ReplicaRegistry replicas;
  private final EventLoop loop;
  private final Map<String, EnginePlacer> placers = new HashMap<>();
  private final ActiveRoles activeRoles = ActiveRoles.create();
  private final Map<String, PendingRequest> pendingRequests = new HashMap<>();
  private final Map<String, String> placerOfRequest = new HashMap<>();

  EnginePlacement(
      PeerTable peers, PeerNetwork peerNetwork, ReplicaRegistry replicas, EventLoop loop) {
    this.peers = peers;
    this.peerNetwork = peerNetwork;
    this.replicas = replicas;
    this.loop = loop;
  }

  /** Returns the roles of a placer that this instance has had work in lately. */
  Set<String> activeRoles() {
    return activeRoles.roles(loop.now());
  }

  /** Takes a new list of replicas. */
  void onReplicas() {
    placers.forEach((service, placer) -> placer.replicas(replicas.notLeaving(service)));
  }

  /**
   * Finds a replica.
   *
   * @param service the engine's service, not null
   * @param request the request, not null
   * @param found told of the replica, or of none if there is no place
   */
  void find(
      String service,
      EnginePlacer.EngineRequest request,
      Consumer<Optional<UpstreamReplica>> found) {
    String placerName = peers.roleHolder(ROLE_PREFIX + service, loop.now());
    boolean sent =
        !placerName.equals(peers.self().name())
            && peerNetwork.send(placerName, new PeerMessage.PlaceRequest(service, request));
    if (!sent) {
      activeRoles.markUsed(ROLE_PREFIX + service, loop.now());
      placerOfRequest.put(request.id(), peers.self().name());
      found.accept(placer(service).place(request, loop.now()));
      return;
    }
    placerOfRequest.put(request.id(), placerName);
    PendingRequest pending = new PendingRequest(service, request, found);
    pendingRequests.put(request.id(), pending);
    pending.timer = loop.after(RESPONSE_TIMEOUT_MILLIS, () -> placeLocally(pending));
  }

  private void placeLocally(PendingRequest pending) {
    if (pendingRequests.remove(pending.request.id(), pending)) {
      placerOfRequest.put(pending.request.id(), peers.self().name());
      pending.found.accept(placer(pending.service).place(pending.request, loop.now()));
    }
  }

  private EnginePlacer placer(String service) {
    return placers.computeIfAbsent(
        service,
        name -> {
          EnginePlacer placer = EnginePlacer.create();
          placer.replicas(replicas.notLeaving(name));
          return placer;
        });
  }

  /** Tells how a request that was placed goes on. */
  void report(String service, String requestId, PeerMessage.RunState state) {
    boolean hasEnded = state != PeerMessage.RunState.BEGUN;
    String placerName =
        hasEnded ? placerOfRequest.remove(requestId) : placerOfRequest.get(requestId);
    if (placerName == null) {
      return;
    }
    if (placerName.equals(peers.self().name())) {
      onStateChange(service, requestId, state);
    } else {
      peerNetwork.send(placerName, new PeerMessage.PlacementUpdate(service, requestId, state));
    }
  }

  private void onStateChange(String service, String requestId, PeerMessage.RunState state) {
    EnginePlacer placer = placer(service);
    if (state == PeerMessage.RunState.BEGUN) {
      placer.onResponseStarted(requestId);
    } else {
      placer.onEnded(requestId, state == PeerMessage.RunState.ENDED, loop.now());
    }
  }

  /** Takes a message of another instance. */
  void onMessage(String name, PeerMessage message) {
    if (message instanceof PeerMessage.PlaceRequest place) {
      activeRoles.markUsed(ROLE_PREFIX + place.service(), loop.now());
      Optional<UpstreamReplica> replica =
          placer(place.service()).place(place.request(), loop.now());
      String replicaId = replica.map(UpstreamReplica::id).orElse("");
      peerNetwork.send(name, new PeerMessage.PlaceResponse(place.request().id(), replicaId));
    } else if (message instanceof PeerMessage.PlaceResponse response) {
      PendingRequest pending = pendingRequests.remove(response.requestId());
      if (pending != null) {
        pending.timer.cancel();
        pending.found.accept(replicas.find(response.replicaId()));
      }
    } else if (message instanceof PeerMessage.PlacementUpdate update) {
      onStateChange(update.service(), update.requestId(), update.state());
    }
  }

  /** Takes the loss of an instance. */
  void onDown(String name) {
    placers.values().forEach(placer -> placer.removeOrigin(name, loop.now()));
  }

  /** A question to the instance that places. */
  private static final class PendingRequest {
    private final String service;
    private final EnginePlacer.EngineRequest request;
    private final Consumer<Optional<UpstreamReplica>> found;
    private EventLoop.Timer timer;

    private PendingRequest(
        String service,
        EnginePlacer.EngineRequest request,
        Consumer<Optional<UpstreamReplica>> found) {
      this.service = service;
      this.request = request;
      this.found = found;
    }
  }
}
