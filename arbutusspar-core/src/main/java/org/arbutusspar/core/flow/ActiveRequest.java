package org.arbutusspar.core.flow;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.config.Stage;
import org.arbutusspar.core.id.AttemptId;
import org.arbutusspar.core.id.ReplicaId;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Request;
import org.arbutusspar.core.request.RequestData;

/** State of a request from its admission to its outcome. Used by the decision thread only. */
final class ActiveRequest {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Request request;
  private final List<Stage> stages;
  private final WorkspaceShare workspace;
  private final List<CallerId> callers = new ArrayList<>(1);
  private final List<Attempt> attempts = new ArrayList<>(1);
  private final List<Outcome.StageCost> costs = new ArrayList<>();
  private final Set<ReplicaId> triedReplicas = new HashSet<>();
  private RequestData data;
  private int stageIndex;
  private int attemptCount;
  private int possiblyRunAttempts;
  private boolean mayHaveTakenEffect;
  private boolean replied;
  private int emittingAttempt;
  private final List<Double> backlogMillis = new ArrayList<>();
  private QueueEntry queueEntry;
  private CallerId streamingCaller;

  private ActiveRequest(Request request, List<Stage> stages, WorkspaceShare workspace) {
    this.request = request;
    this.stages = stages;
    this.workspace = workspace;
    this.data = request.data();
  }

  static ActiveRequest create(Request request, List<Stage> stages, WorkspaceShare workspace) {
    return new ActiveRequest(request, stages, workspace);
  }

  Request request() {
    return request;
  }

  RequestKey key() {
    return request.key();
  }

  WorkspaceShare workspace() {
    return workspace;
  }

  List<CallerId> callers() {
    return callers;
  }

  /** Adds the caller that sent the request; it gets parts of the answer if it streams. */
  void addFirstCaller(CallerId caller, boolean streaming) {
    callers.add(caller);
    streamingCaller = streaming ? caller : null;
  }

  /** Returns the caller that gets parts of the answer as they arrive, if it is still connected. */
  Optional<CallerId> streamingCaller() {
    return Optional.ofNullable(streamingCaller).filter(callers::contains);
  }

  RequestData data() {
    return data;
  }

  Stage stage() {
    return stages.get(stageIndex);
  }

  int stageIndex() {
    return stageIndex;
  }

  boolean isLastStage() {
    return stageIndex == stages.size() - 1;
  }

  double remainingMillis(long now) {
    return Nanos.toMillis(request.deadlineNanos() - now);
  }

  /**
   * Records the backlog that was added for the next stage, in milliseconds; called in stage order.
   */
  void addBacklogMillis(double millis) {
    backlogMillis.add(millis);
  }

  /** Returns the backlog that was added for a stage, in milliseconds. */
  double backlogMillis(int stage) {
    return backlogMillis.get(stage);
  }

  List<Stage> stages() {
    return stages;
  }

  /** Stores the output of the current stage and moves to the next stage, or past the last one. */
  void advance(RequestData output) {
    data = output;
    stageIndex++;
    triedReplicas.clear();
  }

  AttemptId nextAttemptId() {
    attemptCount++;
    return new AttemptId(key(), stageIndex, attemptCount);
  }

  int attemptCount() {
    return attemptCount;
  }

  List<Attempt> attempts() {
    return attempts;
  }

  Set<ReplicaId> triedReplicas() {
    return triedReplicas;
  }

  void onSent(Attempt attempt) {
    attempts.add(attempt);
    triedReplicas.add(attempt.replica().listed().id());
    possiblyRunAttempts++;
  }

  Optional<Attempt> find(AttemptId id) {
    return attempts.stream().filter(a -> a.id().equals(id)).findFirst();
  }

  /** Removes an attempt that ended and adds its duration and price to the costs. */
  void onEnded(Attempt attempt, long now) {
    attempts.remove(attempt);
    double millis = Nanos.toMillis(now - attempt.sentNanos());
    double price = millis / MILLIS_PER_SECOND * attempt.pool().service().cost().pricePerSecond();
    addCost(attempt.pool().service().name().value(), millis, price);
  }

  private void addCost(String service, double millis, double price) {
    for (Iterator<Outcome.StageCost> it = costs.iterator(); it.hasNext(); ) {
      Outcome.StageCost cost = it.next();
      if (cost.service().equals(service)) {
        it.remove();
        costs.add(new Outcome.StageCost(service, cost.millis() + millis, cost.price() + price));
        return;
      }
    }
    costs.add(new Outcome.StageCost(service, millis, price));
  }

  /** Records that no byte of an attempt was sent, so it cannot have run. */
  void onNotSent() {
    possiblyRunAttempts--;
  }

  /** Records that an attempt ended and it is not known whether it took effect. */
  void markMayHaveTakenEffect() {
    mayHaveTakenEffect = true;
  }

  boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }

  /** Returns the number of attempts, ended ones included, of which a byte may have been sent. */
  int possiblyRunAttempts() {
    return possiblyRunAttempts;
  }

  boolean mayHaveRun() {
    return possiblyRunAttempts > 0;
  }

  List<Outcome.StageCost> costs() {
    return costs;
  }

  /** Returns whether the callers already got an outcome while an attempt is still running. */
  boolean isReplied() {
    return replied;
  }

  void markReplied() {
    replied = true;
    callers.clear();
  }

  Optional<QueueEntry> queueEntry() {
    return Optional.ofNullable(queueEntry);
  }

  void setQueueEntry(QueueEntry entry) {
    queueEntry = entry;
  }

  void clearQueueEntry() {
    queueEntry = null;
  }

  /** Returns the number of the attempt whose parts were last sent to the caller, or 0 if none. */
  int emittingAttempt() {
    return emittingAttempt;
  }

  void setEmittingAttempt(int attempt) {
    emittingAttempt = attempt;
  }
}
