package org.arbutusspar.core.flow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusspar.core.Invariant;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Pool;
import org.arbutusspar.core.balancing.Rendezvous;
import org.arbutusspar.core.balancing.Replica;
import org.arbutusspar.core.balancing.SelectionContext;
import org.arbutusspar.core.config.Objective;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.config.Stage;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.id.AttemptId;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.ReplicaId;
import org.arbutusspar.core.request.RequestData;

/** Queues requests before services and sends attempts to replicas. */
final class Dispatcher {

  /** Most requests that wait before one service. */
  static final int MAX_QUEUED = 20_000;

  /** Round trip to another data centre that choices assume, in milliseconds. */
  static final double REMOTE_MILLIS = 2.5;

  private static final int AFFINITY_CHARS = 64;
  private static final double SLOW_FACTOR = 3;
  private static final double SLOW_FACTOR_COST_FIRST = 6;
  private static final double MIN_SLOW_MILLIS = 30;
  private static final double HOPELESS_FACTOR = 0.6;

  private final DataCentre dataCentre;
  private final Policy policy;
  private final Pools pools;
  private final Timers timers;
  private final Actions actions;
  private final Map<ObjectName, StageQueue> queues = new HashMap<>();
  private final Backlog backlog = Backlog.create();
  private Objective objective = Objective.BALANCED;

  private Dispatcher(
      DataCentre dataCentre, Policy policy, Pools pools, Timers timers, Actions actions) {
    this.dataCentre = dataCentre;
    this.policy = policy;
    this.pools = pools;
    this.timers = timers;
    this.actions = actions;
  }

  static Dispatcher create(
      DataCentre dataCentre, Policy policy, Pools pools, Timers timers, Actions actions) {
    return new Dispatcher(dataCentre, policy, pools, timers, actions);
  }

  void onConfigured(Objective next) {
    objective = next;
  }

  StageQueue queue(ObjectName service) {
    return queues.computeIfAbsent(service, s -> policy.newQueue());
  }

  int queued() {
    return queues.values().stream().mapToInt(StageQueue::size).sum();
  }

  /** Puts a request into the queue before its current stage. */
  void enqueue(ActiveRequest request) {
    ObjectName service = request.stage().service();
    double predicted = pools.find(service).map(p -> predict(p, request)).orElse(0.0);
    QueueEntry entry = QueueEntry.create(request, request.workspace(), predicted);
    request.queue(entry);
    queue(service).add(entry);
  }

  void unqueue(ActiveRequest request) {
    request.queued().ifPresent(entry -> queue(request.stage().service()).remove(entry));
    request.unqueue();
  }

  /**
   * Sends waiting requests of a service while its replicas take them.
   *
   * @return the requests that were taken from the queue because they can no longer be in time
   */
  List<ActiveRequest> dispatch(ObjectName service, long now) {
    StageQueue queue = queue(service);
    Pool pool = pools.find(service).orElse(null);
    List<ActiveRequest> hopeless = new ArrayList<>();
    while (pool != null && queue.size() > 0) {
      QueueEntry entry = queue.poll().orElseThrow();
      ActiveRequest request = entry.request();
      if (isHopeless(pool, request, now)) {
        request.unqueue();
        hopeless.add(request);
        continue;
      }
      Optional<Replica> replica = choose(pool, request, now);
      if (replica.isEmpty()) {
        QueueEntry again = QueueEntry.create(request, entry.workspace(), entry.predictedMillis());
        request.queue(again);
        queue.putBack(again);
        break;
      }
      request.unqueue();
      send(pool, replica.get(), request, now);
    }
    return hopeless;
  }

  /** Sends a second copy of the current stage if a replica that was not used takes it. */
  boolean sendCopy(ActiveRequest request, long now) {
    Optional<Pool> pool = pools.find(request.stage().service());
    Optional<Replica> replica = pool.flatMap(p -> choose(p, request, now));
    replica.ifPresent(r -> send(pool.get(), r, request, now));
    return replica.isPresent();
  }

  private boolean isHopeless(Pool pool, ActiveRequest request, long now) {
    if (policy.admission() == Policy.AdmissionKind.OPEN) {
      return request.remainingMillis(now) <= 0;
    }
    return request.remainingMillis(now) < HOPELESS_FACTOR * predict(pool, request);
  }

  private Optional<Replica> choose(Pool pool, ActiveRequest request, long now) {
    Set<ReplicaId> avoid = request.usedReplicas();
    SelectionContext context = contextFor(pool, request, avoid, now);
    Optional<Replica> chosen = pool.choose(context);
    boolean mayReuse = chosen.isEmpty() && !avoid.isEmpty() && request.attempts().isEmpty();
    return mayReuse ? pool.choose(contextFor(pool, request, Set.of(), now)) : chosen;
  }

  private SelectionContext contextFor(
      Pool pool, ActiveRequest request, Set<ReplicaId> avoid, long now) {
    return new SelectionContext(
        now,
        predict(pool, request),
        dataCentre,
        REMOTE_MILLIS,
        affinityFor(pool.service(), request),
        avoid);
  }

  private void send(Pool pool, Replica replica, ActiveRequest request, long now) {
    Service service = pool.service();
    boolean repeatable = request.request().repeatable() || service.idempotencyKeys();
    Invariant.require(
        repeatable || request.mayHaveRun() == 0,
        "a non-repeatable request is handed over at most once");
    Invariant.require(!replica.isLeaving(), "a leaving replica gets no new work");
    final int inFlight = replica.inFlight();
    AttemptId id = request.nextAttemptId();
    double units = request.data().units(service);
    double predicted = pool.costModel().predictMillis(units);
    request.onSent(new Attempt(id, pool, replica, now, units, predicted));
    replica.onSent();
    if (request.usedReplicas().size() == 1) {
      pool.retryBudget().onFirstAttempt();
    }
    Stage stage = request.stage();
    actions.record(
        Decision.Kind.ROUTE,
        request.key(),
        service.name().value(),
        replica.listed().id().value(),
        routeDetail(id, replica, inFlight, predicted));
    actions.add(
        new Action.Send(
            id,
            service,
            stage,
            replica.listed(),
            request.data(),
            (long) request.remainingMillis(now),
            streams(request),
            !request.request().repeatable(),
            affinityFor(service, request)));
    if (request.request().repeatable()) {
      timers.set(now + slowNanos(predicted), Timers.Kind.SLOW, request.key(), id.attempt());
    }
  }

  private static String routeDetail(
      AttemptId id, Replica replica, int inFlight, double predictedMillis) {
    return "stage="
        + id.stage()
        + " attempt="
        + id.attempt()
        + " inFlight="
        + inFlight
        + " limit="
        + replica.limit()
        + " predictedMs="
        + Math.round(predictedMillis);
  }

  private static boolean streams(ActiveRequest request) {
    return request.stage().kind() == StageKind.GENERATE
        && request.isLastStage()
        && request.streamer().isPresent();
  }

  private long slowNanos(double predictedMillis) {
    double factor = objective.isCostFirst() ? SLOW_FACTOR_COST_FIRST : SLOW_FACTOR;
    return Nanos.ofMillis((long) (Math.max(MIN_SLOW_MILLIS, predictedMillis * factor)));
  }

  private static double predict(Pool pool, ActiveRequest request) {
    return pool.costModel().predictMillis(request.data().units(pool.service()));
  }

  private static long affinityFor(Service service, ActiveRequest request) {
    return Pools.isCached(service) ? affinity(request) : 0;
  }

  /** Returns a hash of the prompt's beginning within a workspace. */
  static long affinity(ActiveRequest request) {
    String question = request.data().question();
    String beginning = question.substring(0, Math.min(AFFINITY_CHARS, question.length()));
    return Rendezvous.hash(request.workspace().id() + "/" + beginning);
  }

  /** Returns the services before which requests wait. */
  Set<ObjectName> waitingServices() {
    Set<ObjectName> waiting = new HashSet<>();
    queues.forEach(
        (service, queue) -> {
          if (queue.size() > 0) {
            waiting.add(service);
          }
        });
    return waiting;
  }

  /** Books the work of all stages of a request that was admitted. */
  void book(ActiveRequest request) {
    int candidates = 0;
    for (Stage stage : request.stages()) {
      double millis = predictStage(stage, request.data(), candidates);
      request.book(millis);
      backlog.add(stage.service(), request.workspace(), millis);
      candidates = stage.limit();
    }
  }

  /** Takes back the work of a stage that a request has done or will not do. */
  void unbook(ActiveRequest request, int stage) {
    ObjectName service = request.stages().get(stage).service();
    backlog.remove(service, request.workspace(), request.bookedMillis(stage));
  }

  private double predictStage(Stage stage, RequestData data, int candidates) {
    return pools
        .find(stage.service())
        .map(p -> p.costModel().predictMillis(data.expectedUnits(p.service(), candidates)))
        .orElse(0.0);
  }

  /**
   * Predicts the path of a new request. The wait is that of its slowest service: while a request
   * waits for it, the work booked at the others is done as well.
   */
  PathForecast forecast(
      WorkspaceShare workspace,
      RequestData data,
      List<Stage> stages,
      double remainingMillis,
      long now) {
    double run = 0;
    double wait = 0;
    int candidates = 0;
    for (Stage stage : stages) {
      run += predictStage(stage, data, candidates);
      double before = backlog.millisBefore(stage.service(), workspace);
      int capacity = pools.find(stage.service()).map(p -> p.capacity(now)).orElse(0);
      wait = Math.max(wait, before / Math.max(1, capacity));
      candidates = stage.limit();
    }
    return new PathForecast(run, wait, remainingMillis, objective.isCostFirst());
  }
}
