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

/** Queues requests for services, selects replicas, and sends attempts to them. */
final class Dispatcher {

  /** Maximum number of requests in the queue of one service. */
  static final int MAX_QUEUED = 20_000;

  /** Round-trip time to another data centre that replica selection assumes, in milliseconds. */
  static final double CROSS_DATA_CENTRE_RTT_MILLIS = 2.5;

  /** Length of the prompt prefix that is hashed for prompt cache affinity. */
  private static final int AFFINITY_PREFIX_CHARS = 64;

  /** A hedge is sent after this multiple of the predicted duration of an attempt. */
  private static final double HEDGE_DELAY_FACTOR = 3;

  /**
   * Value of {@link #HEDGE_DELAY_FACTOR} for an objective that puts cost first. It is larger
   * because each hedge costs an extra call.
   */
  private static final double HEDGE_DELAY_FACTOR_COST_FIRST = 6;

  /** Minimum delay before a hedge, also for attempts with a very short predicted duration. */
  private static final double MIN_HEDGE_DELAY_MILLIS = 30;

  /**
   * A queued request is infeasible if the time until its deadline is below this multiple of the
   * predicted duration of its stage.
   */
  private static final double MIN_REMAINING_FACTOR = 0.6;

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

  void onConfigured(Objective newObjective) {
    objective = newObjective;
  }

  StageQueue queue(ObjectName service) {
    return queues.computeIfAbsent(service, s -> policy.newQueue());
  }

  int queuedRequests() {
    return queues.values().stream().mapToInt(StageQueue::size).sum();
  }

  /** Adds a request to the queue of the service that runs its current stage. */
  void enqueue(ActiveRequest request) {
    ObjectName service = request.stage().service();
    double predictedMillis = pools.find(service).map(p -> predict(p, request)).orElse(0.0);
    QueueEntry entry = QueueEntry.create(request, request.workspace(), predictedMillis);
    request.setQueueEntry(entry);
    queue(service).add(entry);
  }

  void removeFromQueue(ActiveRequest request) {
    request.queueEntry().ifPresent(entry -> queue(request.stage().service()).remove(entry));
    request.clearQueueEntry();
  }

  /**
   * Sends queued requests of a service until no replica is eligible or the queue is empty.
   *
   * @param service name of the service
   * @param now monotonic time in nanoseconds
   * @return requests that were removed from the queue because they cannot meet their deadlines
   */
  List<ActiveRequest> dispatch(ObjectName service, long now) {
    StageQueue queue = queue(service);
    Pool pool = pools.find(service).orElse(null);
    List<ActiveRequest> infeasible = new ArrayList<>();
    while (pool != null && queue.size() > 0) {
      QueueEntry entry = queue.poll().orElseThrow();
      ActiveRequest request = entry.request();
      if (isInfeasible(pool, request, now)) {
        request.clearQueueEntry();
        infeasible.add(request);
        continue;
      }
      Optional<Replica> replica = choose(pool, request, now);
      if (replica.isEmpty()) {
        QueueEntry requeued =
            QueueEntry.create(request, entry.workspace(), entry.predictedMillis());
        request.setQueueEntry(requeued);
        queue.putBack(requeued);
        break;
      }
      request.clearQueueEntry();
      send(pool, replica.get(), request, now);
    }
    return infeasible;
  }

  /**
   * Sends a second attempt of the current stage while the first one is running.
   *
   * @param request the request
   * @param now monotonic time in nanoseconds
   * @return true if it was sent; false if no replica without an attempt of the stage is eligible
   */
  boolean sendHedge(ActiveRequest request, long now) {
    Optional<Pool> pool = pools.find(request.stage().service());
    Optional<Replica> replica = pool.flatMap(p -> choose(p, request, now));
    replica.ifPresent(r -> send(pool.get(), r, request, now));
    return replica.isPresent();
  }

  private boolean isInfeasible(Pool pool, ActiveRequest request, long now) {
    if (policy.admission() == Policy.AdmissionKind.OPEN) {
      return request.remainingMillis(now) <= 0;
    }
    return request.remainingMillis(now) < MIN_REMAINING_FACTOR * predict(pool, request);
  }

  /**
   * Selects a replica. Replicas that already got an attempt of the stage are selected only if no
   * other replica is eligible and no attempt is running.
   */
  private Optional<Replica> choose(Pool pool, ActiveRequest request, long now) {
    Set<ReplicaId> excluded = request.triedReplicas();
    SelectionContext context = selectionContext(pool, request, excluded, now);
    Optional<Replica> chosen = pool.choose(context);
    boolean mayUseTriedReplica =
        chosen.isEmpty() && !excluded.isEmpty() && request.attempts().isEmpty();
    return mayUseTriedReplica
        ? pool.choose(selectionContext(pool, request, Set.of(), now))
        : chosen;
  }

  private SelectionContext selectionContext(
      Pool pool, ActiveRequest request, Set<ReplicaId> excluded, long now) {
    return new SelectionContext(
        now,
        predict(pool, request),
        dataCentre,
        CROSS_DATA_CENTRE_RTT_MILLIS,
        affinityOrZero(pool.service(), request),
        excluded);
  }

  private void send(Pool pool, Replica replica, ActiveRequest request, long now) {
    Service service = pool.service();
    boolean safeToResend = request.request().repeatable() || service.idempotencyKeys();
    Invariant.require(
        safeToResend || request.possiblyRunAttempts() == 0,
        "a non-repeatable request may be sent at most once");
    Invariant.require(!replica.isLeaving(), "a leaving replica gets no new requests");
    final int inFlight = replica.inFlight();
    AttemptId id = request.nextAttemptId();
    double units = request.data().units(service);
    double predictedMillis = pool.costModel().predictMillis(units);
    request.onSent(new Attempt(id, pool, replica, now, units, predictedMillis));
    replica.onSent();
    if (request.triedReplicas().size() == 1) {
      pool.retryBudget().onFirstAttempt();
    }
    Stage stage = request.stage();
    actions.record(
        Decision.Kind.ROUTE,
        request.key(),
        service.name().value(),
        replica.listed().id().value(),
        routeDetail(id, replica, inFlight, predictedMillis));
    actions.add(
        new Action.Send(
            id,
            service,
            stage,
            replica.listed(),
            request.data(),
            (long) request.remainingMillis(now),
            wantsParts(request),
            !request.request().repeatable(),
            affinityOrZero(service, request)));
    if (request.request().repeatable()) {
      timers.set(
          now + hedgeDelayNanos(predictedMillis), Timers.Kind.HEDGE, request.key(), id.attempt());
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

  private static boolean wantsParts(ActiveRequest request) {
    return request.stage().kind() == StageKind.GENERATE
        && request.isLastStage()
        && request.streamingCaller().isPresent();
  }

  private long hedgeDelayNanos(double predictedMillis) {
    double factor = objective.isCostFirst() ? HEDGE_DELAY_FACTOR_COST_FIRST : HEDGE_DELAY_FACTOR;
    return Nanos.ofMillis((long) (Math.max(MIN_HEDGE_DELAY_MILLIS, predictedMillis * factor)));
  }

  private static double predict(Pool pool, ActiveRequest request) {
    return pool.costModel().predictMillis(request.data().units(pool.service()));
  }

  private static long affinityOrZero(Service service, ActiveRequest request) {
    return Pools.hasPromptCache(service) ? promptAffinity(request) : 0;
  }

  /** Returns a hash of the workspace and the prompt prefix. */
  static long promptAffinity(ActiveRequest request) {
    String question = request.data().question();
    String prefix = question.substring(0, Math.min(AFFINITY_PREFIX_CHARS, question.length()));
    return Rendezvous.hash(request.workspace().id() + "/" + prefix);
  }

  /** Returns the services whose queues are not empty. */
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

  /**
   * Adds the predicted work of all stages of an admitted request to the backlogs of their services.
   */
  void addToBacklog(ActiveRequest request) {
    int candidates = 0;
    for (Stage stage : request.stages()) {
      double millis = predictStage(stage, request.data(), candidates);
      request.addBacklogMillis(millis);
      backlog.add(stage.service(), request.workspace(), millis);
      candidates = stage.limit();
    }
  }

  /** Removes the predicted work of a stage that has ended or will not run from the backlog. */
  void removeFromBacklog(ActiveRequest request, int stage) {
    ObjectName service = request.stages().get(stage).service();
    backlog.remove(service, request.workspace(), request.backlogMillis(stage));
  }

  private double predictStage(Stage stage, RequestData data, int candidates) {
    return pools
        .find(stage.service())
        .map(p -> p.costModel().predictMillis(data.expectedUnits(p.service(), candidates)))
        .orElse(0.0);
  }

  /**
   * Predicts the run time and queue time of all stages of a new request. The queue time is the
   * longest one over its services, not the sum: while a request waits for that service, the
   * backlogs of the others shrink as well.
   *
   * @param workspace workspace of the request and its share
   * @param data data of the request
   * @param stages stages of the request
   * @param remainingMillis milliseconds until the deadline
   * @param now monotonic time in nanoseconds
   * @return the prediction
   */
  PathForecast forecast(
      WorkspaceShare workspace,
      RequestData data,
      List<Stage> stages,
      double remainingMillis,
      long now) {
    double runMillis = 0;
    double queueMillis = 0;
    int candidates = 0;
    for (Stage stage : stages) {
      runMillis += predictStage(stage, data, candidates);
      double workMillis = backlog.millisBefore(stage.service(), workspace);
      int capacity = pools.find(stage.service()).map(p -> p.capacity(now)).orElse(0);
      queueMillis = Math.max(queueMillis, workMillis / Math.max(1, capacity));
      candidates = stage.limit();
    }
    return new PathForecast(runMillis, queueMillis, remainingMillis, objective.isCostFirst());
  }
}
