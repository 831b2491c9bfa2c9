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
  private static final long ANSWER_MILLIS = 60;

  /** Prefix of the name by which the instance that places for a service is chosen. */
  private static final String ROLE = "place/";

  private final PeerTable peers;
  private final PeerNetwork net;
  private final ReplicaRegistry replicas;
  private final EventLoop loop;
  private final Map<String, EnginePlacer> placers = new HashMap<>();
  private final ActiveRoles roles = ActiveRoles.create();
  private final Map<String, Asked> asked = new HashMap<>();
  private final Map<String, String> placedBy = new HashMap<>();

  EnginePlacement(PeerTable peers, PeerNetwork net, ReplicaRegistry replicas, EventLoop loop) {
    this.peers = peers;
    this.net = net;
    this.replicas = replicas;
    this.loop = loop;
  }

  /** Returns the roles of a placer that this instance has had work in lately. */
  Set<String> roles() {
    return roles.roles(loop.now());
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
    String placer = peers.roleHolder(ROLE + service, loop.now());
    boolean sent =
        !placer.equals(peers.self().name())
            && net.send(placer, new PeerMessage.PlaceRequest(service, request));
    if (!sent) {
      roles.markUsed(ROLE + service, loop.now());
      placedBy.put(request.id(), peers.self().name());
      found.accept(placer(service).place(request, loop.now()));
      return;
    }
    placedBy.put(request.id(), placer);
    Asked question = new Asked(service, request, found);
    asked.put(request.id(), question);
    question.timer = loop.after(ANSWER_MILLIS, () -> placeHere(question));
  }

  private void placeHere(Asked question) {
    if (asked.remove(question.request.id(), question)) {
      placedBy.put(question.request.id(), peers.self().name());
      question.found.accept(placer(question.service).place(question.request, loop.now()));
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
    boolean over = state != PeerMessage.RunState.BEGUN;
    String name = over ? placedBy.remove(requestId) : placedBy.get(requestId);
    if (name == null) {
      return;
    }
    if (name.equals(peers.self().name())) {
      take(service, requestId, state);
    } else {
      net.send(name, new PeerMessage.PlacementUpdate(service, requestId, state));
    }
  }

  private void take(String service, String requestId, PeerMessage.RunState state) {
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
      roles.markUsed(ROLE + place.service(), loop.now());
      Optional<UpstreamReplica> replica =
          placer(place.service()).place(place.request(), loop.now());
      String id = replica.map(UpstreamReplica::id).orElse("");
      net.send(name, new PeerMessage.PlaceResponse(place.request().id(), id));
    } else if (message instanceof PeerMessage.PlaceResponse response) {
      Asked question = asked.remove(response.requestId());
      if (question != null) {
        question.timer.cancel();
        question.found.accept(replicas.find(response.replicaId()));
      }
    } else if (message instanceof PeerMessage.PlacementUpdate update) {
      take(update.service(), update.requestId(), update.state());
    }
  }

  /** Takes the loss of an instance. */
  void onDown(String name) {
    placers.values().forEach(placer -> placer.removeOrigin(name, loop.now()));
  }

  /** A question to the instance that places. */
  private static final class Asked {
    private final String service;
    private final EnginePlacer.EngineRequest request;
    private final Consumer<Optional<UpstreamReplica>> found;
    private EventLoop.Timer timer;

    private Asked(
        String service,
        EnginePlacer.EngineRequest request,
        Consumer<Optional<UpstreamReplica>> found) {
      this.service = service;
      this.request = request;
      this.found = found;
    }
  }
}
