package org.arbutusspar.entry.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.routing.PieceLimits;
import org.arbutusspar.core.routing.Route;
import org.arbutusspar.core.routing.RouteStage;
import org.arbutusspar.core.routing.ServingState;
import org.arbutusspar.core.stage.Piece;
import org.arbutusspar.core.stage.PieceId;
import org.arbutusspar.core.stage.PieceOutcome;
import org.arbutusspar.core.stage.StageAdmission;
import org.arbutusspar.core.stage.StagePlan;
import org.arbutusspar.core.stage.StageResult;
import org.arbutusspar.core.stage.UrgencyOrder;
import org.arbutusspar.core.stage.WaitShares;
import org.arbutusspar.platform.ClientRequest;

/**
 * Runs the stages of one request: decides on its admission, submits the pieces of each stage once
 * its inputs exist, and releases results that are no longer needed. All methods run on the event
 * loop.
 */
final class StageRun implements PieceDispatcher.Requester {

  /**
   * Time in milliseconds that a model engine needs before it sends the first event of a response,
   * not counting the processing of the prompt.
   */
  private static final long ENGINE_FIRST_EVENT_MILLIS = 150;

  /**
   * Share of a terminal stage's slack by which its submission is deferred, from the arrival of the
   * request. A stage is terminal if no other stage reads its results. The slack is the forecast of
   * all stages less the expected time of this stage.
   */
  private static final double DEFERRED_SLACK_SHARE = 0.6;

  /** Minimum deferral in milliseconds; a stage with a shorter one is submitted at once. */
  private static final double MIN_DEFERRAL_MILLIS = 100;

  /**
   * Time by which a result is assumed to expire early, in milliseconds. Its time to live starts
   * when its call ends, which is before this instance is notified of the result.
   */
  private static final long RESULT_EXPIRY_MARGIN_MILLIS = 150;

  /** Size in bytes from which results are preferably read in the data centre that stores them. */
  private static final long LARGE_RESULT_BYTES = 200_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final RequestContext context;
  private final ServingState state;
  private final ClientRequest request;
  private final Route route;
  private final long arrivedAt;
  private final long deadline;
  private final Owner owner;
  private final StagePlan plan;
  private final boolean isClientRetry;

  /** Whether the request is within the usual load of its route; true if that does not matter. */
  private final boolean isWithinUsualLoad;

  /** Place of the pieces in the order of their queues when they are submitted, in milliseconds. */
  private final double orderMillis;

  /** Expected time of all stages with queue waits, before its correction for the route. */
  private final double uncorrectedForecastMillis;

  /** Expected time until the response starts, without waits, in milliseconds. */
  private final double workMillis;

  /** Expected wait for the stages, in milliseconds. */
  private double waitMillis;

  private Optional<DataCentre> requestDataCentre = Optional.empty();

  /** Time at which the first result of a stage arrived, by index of the stage, in nanoseconds. */
  private final Map<Integer, Long> firstResultAt = new HashMap<>();

  private boolean ended;

  private StageRun(
      RequestContext context,
      ServingState state,
      ClientRequest request,
      Route route,
      long arrivedAt,
      long deadline,
      Owner owner) {
    this.context = context;
    this.state = state;
    this.request = request;
    this.route = route;
    this.arrivedAt = arrivedAt;
    this.deadline = deadline;
    this.owner = owner;
    this.plan = StagePlan.create(route.stages(), request.pieceCounts());
    this.isClientRetry =
        request.clientTimeoutMillis().isPresent()
            && context.isClientRetry(route.name(), request.clientTimeoutMillis().getAsLong());
    this.isWithinUsualLoad =
        context
            .contention()
            .map(contention -> contention.isWithinUsualLoad(route.name(), context.loop().now()))
            .orElse(true);
    this.workMillis = forecastMillis(false) + ENGINE_FIRST_EVENT_MILLIS;
    this.orderMillis =
        UrgencyOrder.placeMillis(route.targetMillis() - workMillis, route.priority());
    this.uncorrectedForecastMillis = forecastMillis(true);
  }

  /**
   * Returns the stages of a request, none of which has started. Records the request for the
   * detection of client retries.
   *
   * @param context objects shared by all requests, not null
   * @param state configuration that the request is served under, not null
   * @param request the request, not null
   * @param route route of the request, not null
   * @param arrivedAt time of arrival, monotonic, in nanoseconds
   * @param deadline time by which the client must have the response, monotonic, in nanoseconds
   * @param owner receives the results or the failure, not null
   * @return the stages
   */
  static StageRun create(
      RequestContext context,
      ServingState state,
      ClientRequest request,
      Route route,
      long arrivedAt,
      long deadline,
      Owner owner) {
    return new StageRun(context, state, request, route, arrivedAt, deadline, owner);
  }

  /**
   * Decides whether the request is admitted. The expected wait is the corrected forecast less the
   * forecast without queue waits.
   *
   * @return the verdict
   */
  StageAdmission.Verdict admit() {
    double stagesMillis = workMillis - ENGINE_FIRST_EVENT_MILLIS;
    waitMillis =
        context.forecastCorrection(route.name()).apply(uncorrectedForecastMillis) - stagesMillis;
    StageAdmission.Verdict verdict = decide();
    if (verdict == StageAdmission.Verdict.TAKE) {
      context.contention().ifPresent(this::recordAdmitted);
    }
    context
        .log()
        .write(
            "admission",
            "id",
            request.id(),
            "verdict",
            verdict,
            "work_ms",
            Math.round(stagesMillis),
            "wait_ms",
            Math.round(waitMillis),
            "target_ms",
            route.targetMillis(),
            "left_ms",
            remainingMillis(),
            "came_back",
            isClientRetry,
            "usual",
            isWithinUsualLoad);
    return verdict;
  }

  private StageAdmission.Verdict decide() {
    if (context.contention().isEmpty()) {
      return StageAdmission.decide(
          workMillis,
          waitMillis,
          route.targetMillis(),
          remainingMillis(),
          route.priority(),
          isClientRetry);
    }
    double targetMillis =
        isClientRetry
            ? StageAdmission.clientRetryTargetMillis(
                workMillis, route.targetMillis(), route.timeoutMillis() - remainingMillis())
            : route.targetMillis();
    double share =
        WaitShares.BY_KIND_LOAD.share(route.priority(), isClientRetry, isWithinUsualLoad);
    return StageAdmission.decide(workMillis, waitMillis, targetMillis, remainingMillis(), share);
  }

  private void recordAdmitted(ContendedServices contention) {
    for (int stage = 0; stage < route.stages().size(); stage++) {
      if (plan.pieces(stage) > 0) {
        contention
            .stageWait(route.stages().get(stage).service())
            .onRequest(route.name(), orderMillis, plan.pieces(stage), context.loop().now());
      }
    }
  }

  /** Returns whether the client has probably sent the request before and been rejected. */
  boolean isClientRetry() {
    return isClientRetry;
  }

  /** Returns the expected time until the response starts, without waits, in milliseconds. */
  double workMillis() {
    return workMillis;
  }

  /** Returns the expected wait beyond what the target leaves, in milliseconds. */
  double excessWaitMillis() {
    return Math.max(0, workMillis + waitMillis - route.targetMillis());
  }

  /**
   * Starts the stages whose inputs exist.
   *
   * @param probableDataCentre data centre in which the request will probably run, empty if unknown;
   *     large results that the request reads are preferably computed there
   */
  void start(Optional<DataCentre> probableDataCentre) {
    requestDataCentre = probableDataCentre;
    submitNext();
  }

  /** Releases all results. To be called when the request has read them or has ended. */
  void releaseResults() {
    context.pieces().release(plan.takeRemaining());
  }

  /** Cancels the pieces that have no result yet and releases all results. */
  void end() {
    ended = true;
    context.pieces().cancel(request.id());
    releaseResults();
  }

  /** Returns the expected time of all stages in milliseconds: that of the slowest path. */
  private double forecastMillis(boolean includeQueueWait) {
    double longest = 0;
    for (int stage = 0; stage < route.stages().size(); stage++) {
      longest = Math.max(longest, expectedPathMillis(stage, includeQueueWait));
    }
    return Math.max(1, longest);
  }

  /**
   * Returns the expected time from the start of a stage to the end of the longest path that starts
   * with it, in milliseconds.
   */
  private double expectedPathMillis(int stage, boolean includeQueueWait) {
    double millis = 0;
    for (int pathStage : plan.longestPathFrom(stage)) {
      millis += plan.pieces(pathStage) == 0 ? 0 : expectedStageMillis(pathStage, includeQueueWait);
    }
    return millis;
  }

  /**
   * Returns the expected time of a stage in milliseconds: that of a call with half the maximum
   * batch size and, if requested, the queue wait of the service.
   */
  private double expectedStageMillis(int stage, boolean includeQueueWait) {
    String name = route.stages().get(stage).service();
    double callMillis =
        state.pieceLimits(name).map(limits -> limits.millis(limits.maxBatchSize() / 2)).orElse(0.0);
    long now = context.loop().now();
    return callMillis + (includeQueueWait ? queueWaitMillis(name, callMillis, now) : 0);
  }

  /**
   * Returns the expected queue wait at a service, in milliseconds. A request of a burst goes behind
   * all others.
   */
  private double queueWaitMillis(String service, double callMillis, long now) {
    double queueMillis = context.peers().queueWait(service, now).millis(false);
    if (context.contention().isEmpty()) {
      return queueMillis;
    }
    int replicas = context.replicas().notLeaving(service).size();
    double untilFreeMillis = Math.min(queueMillis, callMillis / Math.max(1, replicas));
    double waitMillis =
        untilFreeMillis
            + context
                .contention()
                .get()
                .stageWait(service)
                .waitMillis(orderMillis, queueMillis - untilFreeMillis, now);
    return isWithinUsualLoad || isClientRetry ? waitMillis : Math.max(waitMillis, queueMillis);
  }

  /**
   * Submits the stages whose predecessors are done. If all stages are done, notifies the owner.
   * Only requests that are no client retries update the forecast correction.
   */
  private void submitNext() {
    for (int stage : plan.startNext()) {
      submitOrDefer(stage);
    }
    if (plan.isDone()) {
      if (!isClientRetry) {
        context.forecastCorrection(route.name()).update(uncorrectedForecastMillis, elapsedMillis());
      }
      context.metrics().onStagesDone(elapsedMillis() / MILLIS_PER_SECOND);
      owner.onStagesDone(plan.requestInputs());
    }
  }

  /**
   * Submits a stage, or defers it if it is terminal and the path of other stages takes longer. The
   * results of a stage that is done early would only occupy memory at their replica until the other
   * stages are done.
   */
  private void submitOrDefer(int stage) {
    double deferralMillis =
        (uncorrectedForecastMillis - expectedPathMillis(stage, true)) * DEFERRED_SLACK_SHARE
            - elapsedMillis();
    if (plan.isTerminal(stage) && deferralMillis > MIN_DEFERRAL_MILLIS) {
      context.loop().after(Math.round(deferralMillis), () -> submitUnlessEnded(stage));
    } else {
      submit(stage);
    }
  }

  private void submitUnlessEnded(int stage) {
    if (!ended) {
      submit(stage);
    }
  }

  private void submit(int stage) {
    RouteStage spec = route.stages().get(stage);
    List<StageResult> results = plan.inputsOf(stage);
    List<String> inputs = results.stream().map(StageResult::handle).toList();
    Optional<DataCentre> preferredDataCentre = preferredDataCentre(stage, results);
    long remainingWorkMillis = fullBatchPathMillis(stage) + ENGINE_FIRST_EVENT_MILLIS;
    long startBy = arrivedAt + Nanos.ofMillis(route.targetMillis() - remainingWorkMillis);
    List<Piece> pieces = new ArrayList<>();
    for (int index = 0; index < plan.pieces(stage); index++) {
      pieces.add(
          new Piece(
              new PieceId(request.id(), stage, index),
              context.peers().self().name(),
              inputs.isEmpty() ? request.pieceKey() : "",
              inputs,
              route.priority(),
              startBy,
              Math.min(deadline - Nanos.ofMillis(ENGINE_FIRST_EVENT_MILLIS), inputsExpireAt(stage)),
              spec.resultBytes(),
              preferredDataCentre,
              0));
    }
    context.pieces().submit(spec.service(), pieces, this);
  }

  /**
   * Returns the time at which the first input of a stage expires, in nanoseconds, or {@link
   * Long#MAX_VALUE} if the stage has no inputs.
   */
  private long inputsExpireAt(int stage) {
    long earliest = Long.MAX_VALUE;
    for (int predecessor : route.stages().get(stage).after()) {
      Optional<PieceLimits> limits = state.pieceLimits(route.stages().get(predecessor).service());
      Long resultAt = firstResultAt.get(predecessor);
      if (resultAt != null && limits.isPresent()) {
        long usableMillis = limits.get().resultTtlMillis() - RESULT_EXPIRY_MARGIN_MILLIS;
        earliest = Math.min(earliest, resultAt + Nanos.ofMillis(usableMillis));
      }
    }
    return earliest;
  }

  /**
   * Returns the data centre in which a stage should run: the one that stores its inputs if these
   * are large, or the one of the request if the stage has no inputs, is terminal and has large
   * results.
   */
  private Optional<DataCentre> preferredDataCentre(int stage, List<StageResult> inputs) {
    if (inputs.isEmpty()) {
      boolean large = route.stages().get(stage).resultBytes() >= LARGE_RESULT_BYTES;
      return plan.isTerminal(stage) && large ? requestDataCentre : Optional.empty();
    }
    long inputBytes = inputs.stream().mapToLong(StageResult::bytes).sum() * plan.pieces(stage);
    return inputBytes >= LARGE_RESULT_BYTES ? context.dataCentreOf(inputs) : Optional.empty();
  }

  /**
   * Returns the time of the longest path that starts with a stage, in milliseconds, if each stage
   * on it takes one full call and nothing waits in a queue.
   */
  private long fullBatchPathMillis(int stage) {
    double millis = 0;
    for (int pathStage : plan.longestPathFrom(stage)) {
      String name = route.stages().get(pathStage).service();
      millis +=
          state.pieceLimits(name).map(limits -> limits.millis(limits.maxBatchSize())).orElse(0.0);
    }
    return Math.round(millis);
  }

  @Override
  public void onPieceEnded(PieceOutcome outcome) {
    if (ended) {
      outcome.result().ifPresent(result -> context.pieces().release(List.of(result)));
      return;
    }
    if (outcome.result().isEmpty()) {
      if (!isClientRetry) {
        context
            .forecastCorrection(route.name())
            .updateFromFailure(uncorrectedForecastMillis, elapsedMillis());
      }
      owner.onStageFailed(outcome.reason());
      return;
    }
    int stage = outcome.id().stage();
    firstResultAt.putIfAbsent(stage, context.loop().now());
    if (!plan.complete(stage, outcome.id().index(), outcome.result().get())) {
      context.pieces().release(List.of(outcome.result().get()));
      return;
    }
    if (plan.isDone(stage)) {
      context
          .log()
          .write("stage-done", "id", request.id(), "stage", stage, "elapsed_ms", elapsedMillis());
      context.pieces().release(plan.takeConsumed());
      submitNext();
    }
  }

  private long remainingMillis() {
    return (long) Nanos.toMillis(deadline - context.loop().now());
  }

  private long elapsedMillis() {
    return Math.round(Nanos.toMillis(context.loop().now() - arrivedAt));
  }

  /**
   * Notified on the event loop when all stages of a request are done, or when one of them cannot be
   * completed.
   */
  interface Owner {

    /**
     * Called when all stages are done.
     *
     * @param results the results that the request reads, in the order of the stages
     */
    void onStagesDone(List<StageResult> results);

    /**
     * Called when a piece has failed, so that its stage cannot be completed.
     *
     * @param reason why the piece failed
     */
    void onStageFailed(String reason);
  }
}
