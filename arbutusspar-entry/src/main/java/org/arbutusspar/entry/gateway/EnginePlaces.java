package org.arbutusspar.entry.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.arbutusspar.core.peer.FellowTable;
import org.arbutusspar.core.peer.RecentRoles;
import org.arbutusspar.core.placement.EnginePlacer;
import org.arbutusspar.core.placement.ReplicaBook;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.io.link.FellowMessage;

/**
 * Finds replicas of model engines: one instance places the requests of all for each service. If
 * that instance does not answer at once, the request is placed here. Runs on the loop.
 */
final class EnginePlaces {

  /** Longest wait for the instance that places. */
  private static final long ANSWER_MILLIS = 60;

  /** Prefix of the name by which the instance that places for a service is chosen. */
  private static final String ROLE = "place/";

  private final FellowTable fellows;
  private final FellowNet net;
  private final ReplicaBook replicas;
  private final DeadlineLoop loop;
  private final Map<String, EnginePlacer> placers = new HashMap<>();
  private final RecentRoles roles = RecentRoles.create();
  private final Map<String, Asked> asked = new HashMap<>();
  private final Map<String, String> placedBy = new HashMap<>();

  EnginePlaces(FellowTable fellows, FellowNet net, ReplicaBook replicas, DeadlineLoop loop) {
    this.fellows = fellows;
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
    placers.forEach((service, placer) -> placer.replicas(replicas.usable(service)));
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
    String placer = fellows.holder(ROLE + service, loop.now());
    boolean sent =
        !placer.equals(fellows.self().name())
            && net.send(placer, new FellowMessage.Place(service, request));
    if (!sent) {
      roles.used(ROLE + service, loop.now());
      placedBy.put(request.id(), fellows.self().name());
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
      placedBy.put(question.request.id(), fellows.self().name());
      question.found.accept(placer(question.service).place(question.request, loop.now()));
    }
  }

  private EnginePlacer placer(String service) {
    return placers.computeIfAbsent(
        service,
        name -> {
          EnginePlacer placer = EnginePlacer.create();
          placer.replicas(replicas.usable(name));
          return placer;
        });
  }

  /** Tells how a request that was placed goes on. */
  void tell(String service, String requestId, FellowMessage.RunState state) {
    boolean over = state != FellowMessage.RunState.BEGUN;
    String name = over ? placedBy.remove(requestId) : placedBy.get(requestId);
    if (name == null) {
      return;
    }
    if (name.equals(fellows.self().name())) {
      take(service, requestId, state);
    } else {
      net.send(name, new FellowMessage.PlacedState(service, requestId, state));
    }
  }

  private void take(String service, String requestId, FellowMessage.RunState state) {
    EnginePlacer placer = placer(service);
    if (state == FellowMessage.RunState.BEGUN) {
      placer.begun(requestId);
    } else {
      placer.end(requestId, state == FellowMessage.RunState.ENDED, loop.now());
    }
  }

  /** Takes a message of another instance. */
  void onMessage(String name, FellowMessage message) {
    if (message instanceof FellowMessage.Place place) {
      roles.used(ROLE + place.service(), loop.now());
      Optional<UpstreamReplica> replica =
          placer(place.service()).place(place.request(), loop.now());
      String id = replica.map(UpstreamReplica::id).orElse("");
      net.send(name, new FellowMessage.PlaceAnswer(place.request().id(), id));
    } else if (message instanceof FellowMessage.PlaceAnswer answer) {
      Asked question = asked.remove(answer.requestId());
      if (question != null) {
        question.timer.cancel();
        question.found.accept(replicas.find(answer.replicaId()));
      }
    } else if (message instanceof FellowMessage.PlacedState placed) {
      take(placed.service(), placed.requestId(), placed.state());
    }
  }

  /** Takes the loss of an instance. */
  void onDown(String name) {
    placers.values().forEach(placer -> placer.forgetOrigin(name, loop.now()));
  }

  /** A question to the instance that places. */
  private static final class Asked {
    private final String service;
    private final EnginePlacer.EngineRequest request;
    private final Consumer<Optional<UpstreamReplica>> found;
    private DeadlineLoop.Timer timer;

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
