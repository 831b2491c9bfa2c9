package org.arbutusspar.core.flow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.core.Invariant;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.LoadReport;
import org.arbutusspar.core.balancing.PrefixHints;
import org.arbutusspar.core.config.Stage;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.id.AttemptId;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.request.Document;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Reason;
import org.arbutusspar.core.request.Request;
import org.arbutusspar.core.request.RequestData;
import org.arbutusspar.core.request.StageOutput;
import org.arbutusspar.core.request.StageOutputException;

/** Runs admitted requests through their stages until each has an outcome. */
final class RequestFlow {

  /** Maximum number of requests between admission and outcome. */
  static final int MAX_ACTIVE_REQUESTS = 8_000;

  /** Time after the deadline for which a response to a non-repeatable request is awaited. */
  static final long LATE_RESPONSE_WAIT_NANOS = Nanos.ofMillis(30_000);

  private static final String STEP_DEADLINE = "deadline";

  private final Map<RequestKey, ActiveRequest> activeRequests = new HashMap<>();
  private final OutcomeStore outcomes;
  private final Dispatcher dispatcher;
  private final Timers timers;
  private final Actions actions;
  private final PrefixHints hints;
  private int activeNonRepeatable;

  private RequestFlow(
      OutcomeStore outcomes,
      Dispatcher dispatcher,
      Timers timers,
      Actions actions,
      PrefixHints hints) {
    this.outcomes = outcomes;
    this.dispatcher = dispatcher;
    this.timers = timers;
    this.actions = actions;
    this.hints = hints;
  }

  static RequestFlow create(
      OutcomeStore outcomes,
      Dispatcher dispatcher,
      Timers timers,
      Actions actions,
      PrefixHints hints) {
    return new RequestFlow(outcomes, dispatcher, timers, actions, hints);
  }

  Optional<ActiveRequest> find(RequestKey key) {
    return Optional.ofNullable(activeRequests.get(key));
  }

  int size() {
    return activeRequests.size();
  }

  /** Returns the number of non-repeatable requests between admission and outcome. */
  int activeNonRepeatable() {
    return activeNonRepeatable;
  }

  /** Starts an admitted request. */
  void start(List<Stage> stages, WorkspaceShare workspace, Event.Arrive arrive, long now) {
    Request request = arrive.request();
    ActiveRequest started = ActiveRequest.create(request, stages, workspace);
    ActiveRequest previous = activeRequests.put(request.key(), started);
    Invariant.require(previous == null, "an identifier has only one active request");
    activeNonRepeatable += request.repeatable() ? 0 : 1;
    started.addFirstCaller(arrive.caller(), arrive.streaming());
    timers.set(request.deadlineNanos(), Timers.Kind.DEADLINE, request.key(), 0);
    actions.record(
        Decision.Kind.ADMIT,
        request.key(),
        request.target().name().value(),
        Outcome.Origin.NO_PEER,
        "remainingMs=" + Math.round(started.remainingMillis(now)));
    dispatcher.addToBacklog(started);
    enterStage(started, now);
  }

  private void enterStage(ActiveRequest request, long now) {
    dispatcher.enqueue(request);
    dispatch(request.stage().service(), now);
  }

  /** Sends queued requests of a service and fails those that cannot meet their deadlines. */
  void dispatch(ObjectName service, long now) {
    for (ActiveRequest infeasible : dispatcher.dispatch(service, now)) {
      abort(infeasible, Reason.OVERLOADED, "dispatch", now);
    }
  }

  /**
   * Passes a part of a generated text on to the streaming caller. While several attempts run, only
   * the parts of one are passed on; another one takes over when that one ends, and the restart flag
   * asks the caller to discard the earlier parts.
   */
  void onToken(AttemptId id, String text) {
    ActiveRequest request = activeRequests.get(id.request());
    if (request == null || request.find(id).isEmpty() || !request.isLastStage()) {
      return;
    }
    if (request.stage().kind() != StageKind.GENERATE) {
      return;
    }
    if (request.emittingAttempt() != id.attempt() && isEmittingAttemptRunning(request)) {
      return;
    }
    boolean restart = request.emittingAttempt() != 0 && request.emittingAttempt() != id.attempt();
    request.setEmittingAttempt(id.attempt());
    request
        .streamingCaller()
        .ifPresent(caller -> actions.add(new Action.Emit(caller, text, restart)));
  }

  private static boolean isEmittingAttemptRunning(ActiveRequest request) {
    return request.attempts().stream().anyMatch(a -> a.id().attempt() == request.emittingAttempt());
  }

  void onReplied(AttemptId id, StageOutput output, Optional<LoadReport> report, long now) {
    ActiveRequest request = activeRequests.get(id.request());
    Attempt attempt = request == null ? null : request.find(id).orElse(null);
    if (attempt == null) {
      actions.record(
          Decision.Kind.DROP, id.request(), "answer", Outcome.Origin.NO_PEER, dropDetail(id));
      return;
    }
    RequestData next;
    try {
      next = output.applyTo(request.data(), request.stage());
    } catch (StageOutputException e) {
      AttemptFailure failure = new AttemptFailure(AttemptFailure.Kind.INVALID, e.getMessage());
      onFailed(id, failure, report, now);
      return;
    }
    recordSuccess(attempt, request, report, now);
    endAttempt(request, attempt, now);
    cancelAttempts(request, now);
    dispatcher.removeFromBacklog(request, request.stageIndex());
    boolean last = request.isLastStage();
    request.advance(next);
    if (last) {
      replacePartsOfOtherAttempt(request, attempt);
      finish(request, answeredOutcome(request), now);
    } else {
      enterStage(request, now);
    }
    dispatch(attempt.pool().service().name(), now);
  }

  /** Sends the full text of the winning attempt if the caller has parts of another attempt. */
  private void replacePartsOfOtherAttempt(ActiveRequest request, Attempt winner) {
    int emittingAttempt = request.emittingAttempt();
    if (emittingAttempt != 0 && emittingAttempt != winner.id().attempt()) {
      String fullText = request.data().answer();
      request
          .streamingCaller()
          .ifPresent(caller -> actions.add(new Action.Emit(caller, fullText, true)));
    }
  }

  private static String dropDetail(AttemptId id) {
    return "stage=" + id.stage() + " attempt=" + id.attempt() + " reason=stale";
  }

  private void recordSuccess(
      Attempt attempt, ActiveRequest request, Optional<LoadReport> report, long now) {
    double millis = Nanos.toMillis(now - attempt.sentNanos());
    attempt.pool().costModel().observe(attempt.units(), millis);
    attempt.replica().onSuccess(millis / Math.max(1, attempt.predictedMillis()));
    report.ifPresent(r -> attempt.replica().onReport(r, now));
    if (Pools.hasPromptCache(attempt.pool().service())) {
      hints.onServed(Dispatcher.promptAffinity(request), attempt.replica().listed().id(), now);
    }
  }

  private static Outcome answeredOutcome(ActiveRequest request) {
    RequestData data = request.data();
    List<String> documents = data.documents().stream().map(Document::id).toList();
    return new Outcome.Answered(data.answer(), documents, request.costs());
  }

  void onFailed(AttemptId id, AttemptFailure failure, Optional<LoadReport> report, long now) {
    ActiveRequest request = activeRequests.get(id.request());
    Attempt attempt = request == null ? null : request.find(id).orElse(null);
    if (attempt == null) {
      return;
    }
    endAttempt(request, attempt, now);
    report.ifPresent(r -> attempt.replica().onReport(r, now));
    recordFailure(request, attempt, failure, now);
    if (request.isReplied()) {
      finish(
          request,
          FailureRules.refusedOutcome(request, FailureRules.reasonOf(failure), originOf(attempt)),
          now);
    } else if (request.attempts().isEmpty()) {
      retryOrFail(request, attempt, failure, now);
    }
    dispatch(attempt.pool().service().name(), now);
  }

  private void recordFailure(
      ActiveRequest request, Attempt attempt, AttemptFailure failure, long now) {
    if (failure.kind() == AttemptFailure.Kind.NOT_SENT) {
      request.onNotSent();
    }
    if (FailureRules.mayHaveTakenEffect(failure) && !request.request().repeatable()) {
      request.markMayHaveTakenEffect();
    }
    if (FailureRules.countsAgainstReplica(failure) && attempt.replica().onFailure(now)) {
      actions.record(
          Decision.Kind.EJECT,
          attempt.pool().service().name().value(),
          attempt.replica().listed().id().value(),
          "reason=" + failure.kind());
    }
  }

  private void retryOrFail(
      ActiveRequest request, Attempt attempt, AttemptFailure failure, long now) {
    if (FailureRules.mayRetry(request, attempt, failure, now)) {
      actions.record(
          Decision.Kind.RETRY,
          request.key(),
          attempt.pool().service().name().value(),
          attempt.replica().listed().id().value(),
          "attempt=" + attempt.id().attempt() + " failure=" + failure.kind());
      dispatcher.enqueue(request);
      return;
    }
    finish(
        request,
        FailureRules.refusedOutcome(request, FailureRules.reasonOf(failure), originOf(attempt)),
        now);
  }

  private static Outcome.Origin originOf(Attempt attempt) {
    return new Outcome.Origin(
        attempt.pool().service().name().value(), attempt.replica().listed().id().value());
  }

  /** Handles due timers and dispatches queued requests. */
  void onTick(long now) {
    Optional<Timers.Timer> timer = timers.pollDue(now);
    while (timer.isPresent()) {
      ActiveRequest request = activeRequests.get(timer.get().key());
      if (request != null) {
        onTimer(timer.get(), request, now);
      }
      timer = timers.pollDue(now);
    }
    for (ObjectName service : dispatcher.waitingServices()) {
      dispatch(service, now);
    }
  }

  private void onTimer(Timers.Timer timer, ActiveRequest request, long now) {
    switch (timer.kind()) {
      case DEADLINE -> onDeadline(request, now);
      case LATE_WAIT_END -> endLateWait(request, now);
      case HEDGE -> onHedgeTimer(request, timer.attempt(), now);
      default -> throw new IllegalStateException("unknown timer " + timer.kind());
    }
  }

  /**
   * Ends a request at its deadline. A non-repeatable request with a running attempt stays active
   * after its callers got their outcome, so that a late response can be stored for them.
   */
  private void onDeadline(ActiveRequest request, long now) {
    boolean awaitsLateResponse = !request.request().repeatable() && !request.attempts().isEmpty();
    if (!awaitsLateResponse) {
      abort(request, Reason.DEADLINE, STEP_DEADLINE, now);
      return;
    }
    Outcome.Refused outcome =
        new Outcome.Refused(
            Outcome.Verdict.UNKNOWN,
            Reason.DEADLINE,
            originOf(request.attempts().get(0)),
            FailureRules.RETRY_AFTER_MILLIS,
            request.costs());
    replyToCallers(request, outcome);
    request.markReplied();
    timers.set(now + LATE_RESPONSE_WAIT_NANOS, Timers.Kind.LATE_WAIT_END, request.key(), 0);
  }

  private void endLateWait(ActiveRequest request, long now) {
    request.markMayHaveTakenEffect();
    Outcome.Origin origin = Outcome.Origin.local(request.stage().service().value());
    finish(request, FailureRules.refusedOutcome(request, Reason.UPSTREAM_LOST, origin), now);
  }

  private void onHedgeTimer(ActiveRequest request, int attempt, long now) {
    boolean onlyAttempt =
        request.attempts().size() == 1 && request.attempts().get(0).id().attempt() == attempt;
    boolean hedgeable = onlyAttempt && request.emittingAttempt() != attempt;
    if (!hedgeable || request.attemptCount() >= FailureRules.MAX_ATTEMPTS) {
      return;
    }
    Attempt slow = request.attempts().get(0);
    if (request.remainingMillis(now) < slow.predictedMillis()) {
      return;
    }
    if (slow.pool().retryBudget().tryTake() && dispatcher.sendHedge(request, now)) {
      actions.record(
          Decision.Kind.COPY,
          request.key(),
          slow.pool().service().name().value(),
          slow.replica().listed().id().value(),
          "attempt=" + attempt + " reason=slow");
    }
  }

  void onCallerLeft(ActiveRequest request, CallerId caller, long now) {
    request.callers().remove(caller);
    if (request.callers().isEmpty() && !request.request().keepAnswer() && !request.isReplied()) {
      abort(request, Reason.CALLER_LEFT, "caller", now);
    }
  }

  /** Ends a request without an answer and cancels its running attempts. */
  void abort(ActiveRequest request, Reason reason, String step, long now) {
    dispatcher.removeFromQueue(request);
    cancelAttempts(request, now);
    finish(request, FailureRules.refusedOutcome(request, reason, Outcome.Origin.local(step)), now);
  }

  private void finish(ActiveRequest request, Outcome outcome, long now) {
    dispatcher.removeFromQueue(request);
    for (int stage = request.stageIndex(); stage < request.stages().size(); stage++) {
      dispatcher.removeFromBacklog(request, stage);
    }
    ActiveRequest removed = activeRequests.remove(request.key());
    Invariant.require(removed == request, "a request may end only once");
    activeNonRepeatable -= request.request().repeatable() ? 0 : 1;
    boolean notRun =
        outcome instanceof Outcome.Refused refused && refused.verdict() == Outcome.Verdict.NOT_RUN;
    Invariant.require(
        !notRun || request.possiblyRunAttempts() == 0,
        "a request with verdict NOT_RUN must have no attempt that may have run");
    cancelAttempts(request, now);
    replyToCallers(request, outcome);
    boolean pin = !request.request().repeatable();
    if (pin || request.request().keepAnswer() && !notRun) {
      outcomes.put(request.key(), request.request().fingerprint(), outcome, pin, now);
    }
  }

  private void replyToCallers(ActiveRequest request, Outcome outcome) {
    if (outcome instanceof Outcome.Refused refused) {
      actions.recordRefusal(request.key(), refused);
    }
    for (CallerId caller : request.callers()) {
      actions.reply(caller, request.key(), outcome);
    }
  }

  private void cancelAttempts(ActiveRequest request, long now) {
    for (Attempt attempt : new ArrayList<>(request.attempts())) {
      endAttempt(request, attempt, now);
      actions.add(new Action.Cancel(attempt.id()));
    }
  }

  private static void endAttempt(ActiveRequest request, Attempt attempt, long now) {
    request.onEnded(attempt, now);
    attempt.replica().onEnded();
  }
}
