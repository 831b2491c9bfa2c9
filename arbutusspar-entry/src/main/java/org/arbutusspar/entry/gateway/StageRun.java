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
import org.arbutusspar.platform.ClientRequest;

/** The stages of one request: whether they are begun, their pieces and their results. */
final class StageRun implements PieceDispatcher.Requester {

  /** Time that a model engine needs before its first event, apart from the prompt. */
  private static final long ENGINE_START_MILLIS = 150;

  /** Share of the time to spare by which a stage is put off. */
  private static final double DEFERRED_SHARE = 0.6;

  /** Stages are not put off for less than this. */
  private static final double LEAST_DEFERRAL_MILLIS = 100;

  /** A result is read before it expires; it was made a little before this instance heard of it. */
  private static final long EXPIRY_MARGIN_MILLIS = 150;

  /** Less than this may cross data centres without a thought. */
  private static final long LARGE_BYTES = 200_000;

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
  private final double plainForecast;
  private Optional<DataCentre> reader = Optional.empty();
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
    this.plainForecast = forecastMillis(true);
  }

  /** Returns the stages of a request, of which none is begun. */
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

  /** Decides whether the stages are begun. */
  StageAdmission.Verdict admit() {
    double work = forecastMillis(false);
    double wait = context.correction(route.name()).apply(plainForecast) - work;
    StageAdmission.Verdict verdict =
        StageAdmission.decide(
            work + ENGINE_START_MILLIS,
            wait,
            route.targetMillis(),
            leftMillis(),
            route.priority(),
            isClientRetry);
    context
        .log()
        .write(
            "admission",
            "id",
            request.id(),
            "verdict",
            verdict,
            "work_ms",
            Math.round(work),
            "wait_ms",
            Math.round(wait),
            "target_ms",
            route.targetMillis(),
            "left_ms",
            leftMillis(),
            "came_back",
            isClientRetry);
    return verdict;
  }

  /**
   * Begins the stages.
   *
   * @param place data centre in which the request will probably run, so that large results are made
   *     there
   */
  void start(Optional<DataCentre> place) {
    reader = place;
    submitNext();
  }

  /** Releases all results; the request has read them or will not. */
  void releaseResults() {
    context.pieces().release(plan.takeRemaining());
  }

  /** Gives up what has not been made, and releases all results. */
  void end() {
    ended = true;
    context.pieces().cancel(request.id());
    releaseResults();
  }

  /** Returns the expected time of the longest chain of plan. */
  private double forecastMillis(boolean withWaiting) {
    double longest = 0;
    for (int stage = 0; stage < route.stages().size(); stage++) {
      longest = Math.max(longest, chainMillis(stage, withWaiting));
    }
    return Math.max(1, longest);
  }

  /** Returns the expected time of a stage and of those that wait for it. */
  private double chainMillis(int stage, boolean withWaiting) {
    double millis = 0;
    for (int each : plan.longestPathFrom(stage)) {
      millis += plan.pieces(each) == 0 ? 0 : stageMillis(each, withWaiting);
    }
    return millis;
  }

  private double stageMillis(int stage, boolean withWaiting) {
    String name = route.stages().get(stage).service();
    double work = state.pieceLimits(name).map(l -> l.millis(l.maxBatchSize() / 2)).orElse(0.0);
    long now = context.loop().now();
    return work + (withWaiting ? context.peers().queueWait(name, now).millis(false) : 0);
  }

  private void submitNext() {
    for (int stage : plan.startNext()) {
      submitInTime(stage);
    }
    if (plan.isDone()) {
      if (!isClientRetry) {
        context.correction(route.name()).update(plainForecast, elapsedMillis());
      }
      context.metrics().onStagesDone(elapsedMillis() / MILLIS_PER_SECOND);
      owner.onStagesDone(plan.requestInputs());
    }
  }

  /**
   * Submits a stage, or lets it wait if other stages take longer: its results would only take room
   * until those are done.
   */
  private void submitInTime(int stage) {
    double spare = (plainForecast - chainMillis(stage, true)) * DEFERRED_SHARE - elapsedMillis();
    if (plan.isTerminal(stage) && spare > LEAST_DEFERRAL_MILLIS) {
      context.loop().after(Math.round(spare), () -> submitUnlessEnded(stage));
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
    long rest = pathMillis(stage) + ENGINE_START_MILLIS;
    long startBy = arrivedAt + Nanos.ofMillis(route.targetMillis() - rest);
    List<Piece> pieces = new ArrayList<>();
    for (int i = 0; i < plan.pieces(stage); i++) {
      pieces.add(
          new Piece(
              new PieceId(request.id(), stage, i),
              context.peers().self().name(),
              inputs.isEmpty() ? request.pieceKey() : "",
              inputs,
              route.priority(),
              startBy,
              Math.min(deadline - Nanos.ofMillis(ENGINE_START_MILLIS), inputsExpireAt(stage)),
              spec.resultBytes(),
              preferredDataCentre,
              0));
    }
    context.pieces().submit(spec.service(), pieces, this);
  }

  /** Returns when the first of the results that a stage reads is dropped by its replica. */
  private long inputsExpireAt(int stage) {
    long first = Long.MAX_VALUE;
    for (int before : route.stages().get(stage).after()) {
      Optional<PieceLimits> limits = state.pieceLimits(route.stages().get(before).service());
      Long madeAt = firstResultAt.get(before);
      if (madeAt != null && limits.isPresent()) {
        long keptMillis = limits.get().resultTtlMillis() - EXPIRY_MARGIN_MILLIS;
        first = Math.min(first, madeAt + Nanos.ofMillis(keptMillis));
      }
    }
    return first;
  }

  private Optional<DataCentre> preferredDataCentre(int stage, List<StageResult> inputs) {
    if (inputs.isEmpty()) {
      boolean large = route.stages().get(stage).resultBytes() >= LARGE_BYTES;
      return plan.isTerminal(stage) && large ? reader : Optional.empty();
    }
    long read = inputs.stream().mapToLong(StageResult::bytes).sum() * plan.pieces(stage);
    return read >= LARGE_BYTES ? context.dataCentreOf(inputs) : Optional.empty();
  }

  /** Returns the time that a stage and those that wait for it take, each in a call of its own. */
  private long pathMillis(int stage) {
    double millis = 0;
    for (int each : plan.longestPathFrom(stage)) {
      String name = route.stages().get(each).service();
      millis += state.pieceLimits(name).map(l -> l.millis(l.maxBatchSize())).orElse(0.0);
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
        context.correction(route.name()).updateFromFailure(plainForecast, elapsedMillis());
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

  private long leftMillis() {
    return (long) Nanos.toMillis(deadline - context.loop().now());
  }

  private long elapsedMillis() {
    return Math.round(Nanos.toMillis(context.loop().now() - arrivedAt));
  }

  /** Told how the stages go. */
  interface Owner {

    /**
     * All stages are done.
     *
     * @param results the results that the request reads
     */
    void onStagesDone(List<StageResult> results);

    /**
     * A piece cannot be made.
     *
     * @param reason why
     */
    void onStageFailed(String reason);
  }
}
