package org.arbutusspar.entry.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Predicate;
import org.arbutusspar.core.placement.CrashingPartDetector;
import org.arbutusspar.core.placement.EngineChooser;
import org.arbutusspar.core.placement.EngineDecision;
import org.arbutusspar.core.placement.EngineDemand;
import org.arbutusspar.core.placement.EnginePlacer;
import org.arbutusspar.core.placement.EngineQueue;
import org.arbutusspar.core.placement.ObservedSpeeds;
import org.arbutusspar.core.placement.ReplicaRegistry;
import org.arbutusspar.core.placement.ReplicaSpeeds;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.placement.WorkObservation;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.link.PeerMessage;

/**
 * What this instance knows and decides as the placer of services, for the requests of all
 * instances: one {@link EngineChooser} a service, the speeds of its replicas, and the prompt parts
 * that crash engines. Not thread-safe: all methods run on the event loop.
 */
final class EngineChoosers {

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

  private final ReplicaRegistry replicas;
  private final EventLoop loop;
  private final BlockList blocks;
  private final EventLog log;
  private final BiFunction<String, ReplicaSpeeds, EngineChooser> newChooser;
  private final BiConsumer<EnginePlacer.EngineRequest, EngineDecision> teller;
  private final Map<String, CrashingPartDetector> detectors = new HashMap<>();
  private final Map<String, EngineChooser> choosers = new HashMap<>();

  /** Speeds of the replicas for whose services this instance is the placer. */
  private final ObservedSpeeds speeds = ObservedSpeeds.create();

  /** Lasting speeds that were logged last, by identifier of the replica. */
  private final Map<String, Double> loggedSpeeds = new HashMap<>();

  private boolean settleScheduled;

  /**
   * Creates an object without choosers.
   *
   * @param newChooser creates the chooser of a service, not null
   * @param teller told of the decisions on requests that have waited, not null
   */
  EngineChoosers(
      ReplicaRegistry replicas,
      EventLoop loop,
      BlockList blocks,
      EventLog log,
      BiFunction<String, ReplicaSpeeds, EngineChooser> newChooser,
      BiConsumer<EnginePlacer.EngineRequest, EngineDecision> teller) {
    this.replicas = replicas;
    this.loop = loop;
    this.blocks = blocks;
    this.log = log;
    this.newChooser = newChooser;
    this.teller = teller;
  }

  /** Passes on the changed list of replicas. */
  void onReplicas() {
    choosers.forEach((service, chooser) -> chooser.replicas(replicas.notLeaving(service)));
    settleAll();
  }

  /** Returns the number of requests that wait here, by service. */
  Map<String, Integer> waiting() {
    Map<String, Integer> waiting = new HashMap<>();
    queues().forEach((service, chooser) -> waiting.put(service, chooser.waiting()));
    return waiting;
  }

  /** Returns the expected wait of a further request here in milliseconds, by service. */
  Map<String, Integer> expectedWaitMillis() {
    Map<String, Integer> waits = new HashMap<>();
    queues()
        .forEach(
            (service, chooser) -> waits.put(service, (int) chooser.expectedWaitMillis(loop.now())));
    return waits;
  }

  /** Returns the choosers at which requests may wait. */
  private Map<String, EngineChooser> queues() {
    Map<String, EngineChooser> queues = new HashMap<>(choosers);
    queues.values().removeIf(chooser -> !(chooser instanceof EngineQueue));
    return queues;
  }

  /**
   * Decides on a request; other decisions that come of it are told by {@link #settle}.
   *
   * @param service name of the service, not null
   * @param request the request, not null
   * @return the decision; a rejection if a prompt part of the request is blocked
   */
  EngineDecision ask(String service, EnginePlacer.EngineRequest request) {
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
  void settle(String service) {
    EngineChooser chooser = chooser(service);
    for (EngineChooser.Settled settled : chooser.settle(loop.now())) {
      settled.decision().replica().ifPresent(r -> onPlaced(service, settled.request(), r));
      logSettled(service, settled);
      teller.accept(settled.request(), settled.decision());
    }
    if (chooser.waiting() > 0 && !settleScheduled) {
      settleScheduled = true;
      loop.after(SETTLE_INTERVAL_MILLIS, this::settleScheduled);
    }
  }

  private void settleScheduled() {
    settleScheduled = false;
    settleAll();
  }

  private void settleAll() {
    List.copyOf(choosers.keySet()).forEach(this::settle);
  }

  /** Forgets a request that has waited here and is decided elsewhere. */
  void forget(String service, String requestId) {
    chooser(service).onEnded(requestId, true, loop.now());
  }

  /**
   * Records that an instance is no longer live, so that none of its requests is in flight or waits.
   *
   * @param name name of the instance, not null
   */
  void removeOrigin(String name) {
    choosers.values().forEach(chooser -> chooser.removeOrigin(name, loop.now()));
    settleAll();
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
   * Applies a state change of a request.
   *
   * @param update the change, not null
   */
  void onStateChange(PeerMessage.PlacementUpdate update) {
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
    CrashingPartDetector detector = detector(service);
    CrashingPartDetector.Findings findings = findings(detector, update);
    findings.crashing().forEach(part -> blocks.block(part, detector.crashedReplicas(part)));
    findings.cleared().forEach(blocks::permit);
    settle(service);
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

  /** Logs the lasting speeds of replicas that have changed, for services placed here. */
  void logSpeeds(Predicate<String> placedHere) {
    List<UpstreamReplica> replicasWithSpeed = replicasWithSpeed(placedHere);
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
  Map<String, Integer> speedPercents(Predicate<String> placedHere) {
    Map<String, Integer> percents = new HashMap<>();
    for (UpstreamReplica replica : replicasWithSpeed(placedHere)) {
      double speed = speeds.relativeSpeed(replica, loop.now());
      percents.put(replica.id(), (int) Math.round(PERCENT * speed));
    }
    return percents;
  }

  private List<UpstreamReplica> replicasWithSpeed(Predicate<String> placedHere) {
    return choosers.keySet().stream()
        .filter(service -> placedHere.test(service) && speeds.isStated(service))
        .flatMap(service -> replicas.notLeaving(service).stream())
        .limit(MAX_REPORTED_SPEEDS)
        .toList();
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

  /** Returns the priority rank of a request, 0 if it states no demand. */
  static int rank(EnginePlacer.EngineRequest request) {
    return request.demand().map(EngineDemand::rank).orElse(0);
  }
}
