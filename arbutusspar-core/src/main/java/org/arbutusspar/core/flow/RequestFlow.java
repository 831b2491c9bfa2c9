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

/** Takes requests through their stages, from admission to outcome. */
final class RequestFlow {

  /** Most requests between admission and outcome. */
  static final int MAX_ACTIVE = 8_000;

  /** How long the late answer of a non-repeatable request is waited for. */
  static final long LATE_NANOS = Nanos.ofMillis(30_000);

  private static final String STEP_DEADLINE = "deadline";

  private final Map<RequestKey, ActiveRequest> active = new HashMap<>();
  private final OutcomeStore outcomes;
  private final Dispatcher dispatcher;
  private final Timers timers;
  private final Actions actions;
  private final PrefixHints hints;
  private int pinnedActive;

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
    return Optional.ofNullable(active.get(key));
  }

  int size() {
    return active.size();
  }

  /** Returns the non-repeatable requests between admission and outcome. */
  int pinnedActive() {
    return pinnedActive;
  }

  /** Starts an admitted request. */
  void start(List<Stage> stages, WorkspaceShare workspace, Event.Arrive arrive, long now) {
    Request request = arrive.request();
    ActiveRequest started = ActiveRequest.create(request, stages, workspace);
    ActiveRequest previous = active.put(request.key(), started);
    Invariant.require(previous == null, "an identifier denotes one running request");
    pinnedActive += request.repeatable() ? 0 : 1;
    started.addFirstCaller(arrive.caller(), arrive.streaming());
    timers.set(request.deadlineNanos(), Timers.Kind.DEADLINE, request.key(), 0);
    actions.record(
        Decision.Kind.ADMIT,
        request.key(),
        request.target().name().value(),
        Outcome.Origin.NO_PEER,
        "remainingMs=" + Math.round(started.remainingMillis(now)));
    dispatcher.book(started);
    enter(started, now);
  }

  private void enter(ActiveRequest request, long now) {
    dispatcher.enqueue(request);
    dispatch(request.stage().service(), now);
  }

  /** Sends what waits before a service, and refuses what can no longer be in time. */
  void dispatch(ObjectName service, long now) {
    for (ActiveRequest hopeless : dispatcher.dispatch(service, now)) {
      giveUp(hopeless, Reason.OVERLOADED, "dispatch", now);
    }
  }

  void onToken(AttemptId id, String text) {
    ActiveRequest request = active.get(id.request());
    if (request == null || request.find(id).isEmpty() || !request.isLastStage()) {
      return;
    }
    if (request.stage().kind() != StageKind.GENERATE) {
      return;
    }
    if (request.emittingAttempt() != id.attempt() && isEmitterAlive(request)) {
      return;
    }
    boolean restart = request.emittingAttempt() != 0 && request.emittingAttempt() != id.attempt();
    request.emitting(id.attempt());
    request.streamer().ifPresent(caller -> actions.add(new Action.Emit(caller, text, restart)));
  }

  private static boolean isEmitterAlive(ActiveRequest request) {
    return request.attempts().stream().anyMatch(a -> a.id().attempt() == request.emittingAttempt());
  }

  void onReplied(AttemptId id, StageOutput output, Optional<LoadReport> report, long now) {
    ActiveRequest request = active.get(id.request());
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
    learn(attempt, request, report, now);
    endAttempt(request, attempt, now);
    cancelAttempts(request, now);
    dispatcher.unbook(request, request.stageIndex());
    boolean last = request.isLastStage();
    request.advance(next);
    if (last) {
      completeStream(request, attempt);
      finish(request, answered(request), now);
    } else {
      enter(request, now);
    }
    dispatch(attempt.pool().service().name(), now);
  }

  /** Replaces the parts of another attempt that the caller got by the whole text of this one. */
  private void completeStream(ActiveRequest request, Attempt winner) {
    int emitting = request.emittingAttempt();
    if (emitting != 0 && emitting != winner.id().attempt()) {
      String whole = request.data().answer();
      request.streamer().ifPresent(caller -> actions.add(new Action.Emit(caller, whole, true)));
    }
  }

  private static String dropDetail(AttemptId id) {
    return "stage=" + id.stage() + " attempt=" + id.attempt() + " reason=stale";
  }

  private void learn(
      Attempt attempt, ActiveRequest request, Optional<LoadReport> report, long now) {
    double millis = Nanos.toMillis(now - attempt.sentNanos());
    attempt.pool().costModel().observe(attempt.units(), millis);
    attempt.replica().onSuccess(millis / Math.max(1, attempt.predictedMillis()));
    report.ifPresent(r -> attempt.replica().onReport(r, now));
    if (Pools.isCached(attempt.pool().service())) {
      hints.onServed(Dispatcher.affinity(request), attempt.replica().listed().id(), now);
    }
  }

  private static Outcome answered(ActiveRequest request) {
    RequestData data = request.data();
    List<String> documents = data.documents().stream().map(Document::id).toList();
    return new Outcome.Answered(data.answer(), documents, request.costs());
  }

  void onFailed(AttemptId id, AttemptFailure failure, Optional<LoadReport> report, long now) {
    ActiveRequest request = active.get(id.request());
    Attempt attempt = request == null ? null : request.find(id).orElse(null);
    if (attempt == null) {
      return;
    }
    endAttempt(request, attempt, now);
    report.ifPresent(r -> attempt.replica().onReport(r, now));
    noteFailure(request, attempt, failure, now);
    if (request.isTold()) {
      finish(
          request,
          FailureRules.refused(request, FailureRules.reasonOf(failure), originOf(attempt)),
          now);
    } else if (request.attempts().isEmpty()) {
      retryOrFail(request, attempt, failure, now);
    }
    dispatch(attempt.pool().service().name(), now);
  }

  private void noteFailure(
      ActiveRequest request, Attempt attempt, AttemptFailure failure, long now) {
    if (failure.kind() == AttemptFailure.Kind.NOT_SENT) {
      request.onNotSent();
    }
    if (FailureRules.leavesUncertain(failure) && !request.request().repeatable()) {
      request.onUncertain();
    }
    if (FailureRules.isBlamed(failure) && attempt.replica().onFailure(now)) {
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
        FailureRules.refused(request, FailureRules.reasonOf(failure), originOf(attempt)),
        now);
  }

  private static Outcome.Origin originOf(Attempt attempt) {
    return new Outcome.Origin(
        attempt.pool().service().name().value(), attempt.replica().listed().id().value());
  }

  /** Handles the timers that are due. */
  void onTick(long now) {
    Optional<Timers.Timer> due = timers.due(now);
    while (due.isPresent()) {
      ActiveRequest request = active.get(due.get().key());
      if (request != null) {
        onTimer(due.get(), request, now);
      }
      due = timers.due(now);
    }
    for (ObjectName service : dispatcher.waitingServices()) {
      dispatch(service, now);
    }
  }

  private void onTimer(Timers.Timer timer, ActiveRequest request, long now) {
    switch (timer.kind()) {
      case DEADLINE -> onDeadline(request, now);
      case LATE_END -> endLateWait(request, now);
      case SLOW -> onSlow(request, timer.attempt(), now);
      default -> throw new IllegalStateException("unknown timer " + timer.kind());
    }
  }

  private void onDeadline(ActiveRequest request, long now) {
    boolean mayAnswerLate = !request.request().repeatable() && !request.attempts().isEmpty();
    if (!mayAnswerLate) {
      giveUp(request, Reason.DEADLINE, STEP_DEADLINE, now);
      return;
    }
    Outcome.Refused outcome =
        new Outcome.Refused(
            Outcome.Verdict.UNKNOWN,
            Reason.DEADLINE,
            originOf(request.attempts().get(0)),
            FailureRules.COME_BACK_MILLIS,
            request.costs());
    tell(request, outcome);
    request.markTold();
    timers.set(now + LATE_NANOS, Timers.Kind.LATE_END, request.key(), 0);
  }

  private void endLateWait(ActiveRequest request, long now) {
    request.onUncertain();
    Outcome.Origin origin = Outcome.Origin.local(request.stage().service().value());
    finish(request, FailureRules.refused(request, Reason.UPSTREAM_LOST, origin), now);
  }

  private void onSlow(ActiveRequest request, int attempt, long now) {
    boolean alone =
        request.attempts().size() == 1 && request.attempts().get(0).id().attempt() == attempt;
    boolean useful = alone && request.emittingAttempt() != attempt;
    if (!useful || request.attemptCount() >= FailureRules.MAX_ATTEMPTS) {
      return;
    }
    Attempt slow = request.attempts().get(0);
    if (request.remainingMillis(now) < slow.predictedMillis()) {
      return;
    }
    if (slow.pool().retryBudget().tryTake() && dispatcher.sendCopy(request, now)) {
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
    if (request.callers().isEmpty() && !request.request().keepAnswer() && !request.isTold()) {
      giveUp(request, Reason.CALLER_LEFT, "caller", now);
    }
  }

  /** Ends a request without an answer, and cancels what it still has running. */
  void giveUp(ActiveRequest request, Reason reason, String step, long now) {
    dispatcher.unqueue(request);
    cancelAttempts(request, now);
    finish(request, FailureRules.refused(request, reason, Outcome.Origin.local(step)), now);
  }

  private void finish(ActiveRequest request, Outcome outcome, long now) {
    dispatcher.unqueue(request);
    for (int stage = request.stageIndex(); stage < request.stages().size(); stage++) {
      dispatcher.unbook(request, stage);
    }
    ActiveRequest removed = active.remove(request.key());
    Invariant.require(removed == request, "a request ends once");
    pinnedActive -= request.request().repeatable() ? 0 : 1;
    boolean notRun =
        outcome instanceof Outcome.Refused refused && refused.verdict() == Outcome.Verdict.NOT_RUN;
    Invariant.require(!notRun || request.mayHaveRun() == 0, "a refusal that says not run is true");
    cancelAttempts(request, now);
    tell(request, outcome);
    boolean pin = !request.request().repeatable();
    if (pin || request.request().keepAnswer() && !notRun) {
      outcomes.put(request.key(), request.request().fingerprint(), outcome, pin, now);
    }
  }

  private void tell(ActiveRequest request, Outcome outcome) {
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
