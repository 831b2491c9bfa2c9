package org.arbutusspar.core.flow;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.LoadReport;
import org.arbutusspar.core.balancing.Pool;
import org.arbutusspar.core.balancing.PrefixHints;
import org.arbutusspar.core.balancing.Replica;
import org.arbutusspar.core.config.ConfigIndex;
import org.arbutusspar.core.config.ConfigState;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.config.Stage;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.ReplicaId;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Reason;
import org.arbutusspar.core.request.Request;

/**
 * Makes all decisions of one entry instance about requests, as a deterministic state machine: the
 * same options and events give the same actions. Not thread-safe.
 */
public final class Coordinator {

  private static final String STEP_ADMISSION = "admission";
  private static final String STEP_IDENTIFIER = "identifier";

  /** Delay after which a caller should retry, where no better estimate exists. */
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final CoordinatorOptions options;
  private final Actions actions = Actions.create();
  private final Timers timers = Timers.create();
  private final OutcomeStore outcomes = OutcomeStore.create();
  private final PrefixHints hints = PrefixHints.create();
  private final PendingForwards pendingForwards = PendingForwards.create(actions);
  private final Pools pools;
  private final Dispatcher dispatcher;
  private final RequestFlow flow;
  private final Admission admission;
  private ConfigIndex config = ConfigIndex.of(ConfigState.EMPTY);
  private Set<Home> reachableHomes = Set.of();
  private boolean draining;

  private Coordinator(CoordinatorOptions options) {
    this.options = options;
    UniformRandomProvider random = Policy.newRandom(options.seed());
    pools = Pools.create(options.home().instance(), options.policy(), random, hints);
    dispatcher = Dispatcher.create(options.dataCentre(), options.policy(), pools, timers, actions);
    flow = RequestFlow.create(outcomes, dispatcher, timers, actions, hints);
    admission = options.policy().newAdmission(random);
  }

  /**
   * Returns a coordinator without a configuration and without replicas.
   *
   * @param options the options, not null
   * @return the coordinator
   */
  public static Coordinator create(CoordinatorOptions options) {
    return new Coordinator(Objects.requireNonNull(options, "options"));
  }

  /**
   * Handles one event.
   *
   * @param event the event, not null
   * @param now monotonic time in nanoseconds, not less than at the previous event
   * @return the actions to carry out, in order
   */
  public List<Action> handle(Event event, long now) {
    Objects.requireNonNull(event, "event");
    if (event instanceof Event.Arrive arrive) {
      onArrive(arrive, now);
    } else if (event instanceof Event.Replied replied) {
      flow.onReplied(replied.attempt(), replied.output(), replied.report(), now);
    } else if (event instanceof Event.AttemptFailed failed) {
      flow.onFailed(failed.attempt(), failed.failure(), failed.report(), now);
    } else if (event instanceof Event.TokenArrived token) {
      flow.onToken(token.attempt(), token.text());
    } else if (event instanceof Event.Tick) {
      onTick(now);
    } else {
      handleOther(event, now);
    }
    return actions.take();
  }

  private void handleOther(Event event, long now) {
    if (event instanceof Event.Ask ask) {
      onAsk(ask, now);
    } else if (event instanceof Event.CallerLeft left) {
      onCallerLeft(left, now);
    } else if (event instanceof Event.Polled polled) {
      onPolled(polled.service(), polled.replica(), polled.report(), now);
    } else if (event instanceof Event.PrefixDropped dropped) {
      hints.onDropped(dropped.affinity(), dropped.replica());
    } else if (event instanceof Event.Listed listed) {
      pools.onListed(listed.replicas());
      poll(now);
    } else if (event instanceof Event.Configured configured) {
      onConfigured(configured.state(), now);
    } else if (event instanceof Event.PeersChanged changed) {
      reachableHomes = changed.reachable();
      pools.onPeers(changed.liveInstances());
    } else if (event instanceof Event.ForwardReplied replied) {
      pendingForwards.onReplied(replied.caller(), replied.outcome());
    } else if (event instanceof Event.ForwardLost lost) {
      pendingForwards.onLost(lost.caller());
    } else if (event instanceof Event.Drain) {
      draining = true;
    }
  }

  /** Returns the configuration in force. */
  public ConfigIndex config() {
    return config;
  }

  /** Returns the numbers of requests and outcomes held, for metrics and the status page. */
  public CoordinatorStatus status() {
    return new CoordinatorStatus(
        flow.size(),
        dispatcher.queuedRequests(),
        outcomes.size(),
        pendingForwards.size(),
        draining);
  }

  /** Returns the replica pools, for the status page; callers must not change them. */
  public Collection<Pool> pools() {
    return List.copyOf(pools.all());
  }

  private void onConfigured(ConfigState state, long now) {
    if (state.revision() < config.state().revision()) {
      return;
    }
    config = ConfigIndex.of(state);
    pools.onConfigured(config);
    dispatcher.onConfigured(state.objective());
    poll(now);
  }

  private void onTick(long now) {
    flow.onTick(now);
    pendingForwards.onTick(now);
    poll(now);
  }

  private void poll(long now) {
    for (Replica replica : pools.takeDuePolls(now)) {
      actions.add(new Action.Poll(replica.listed().service(), replica.listed()));
    }
  }

  private void onPolled(ObjectName service, ReplicaId id, LoadReport report, long now) {
    pools.find(service).flatMap(pool -> pool.find(id)).ifPresent(r -> r.onReport(report, now));
    flow.dispatch(service, now);
  }

  private void onCallerLeft(Event.CallerLeft left, long now) {
    pendingForwards.onCallerLeft(left.caller());
    flow.find(left.key()).ifPresent(request -> flow.onCallerLeft(request, left.caller(), now));
  }

  private void onArrive(Event.Arrive arrive, long now) {
    Request request = arrive.request();
    CallerId caller = arrive.caller();
    RequestKey key = request.key();
    Optional<OutcomeStore.StoredOutcome> stored = outcomes.find(key, now);
    Optional<ActiveRequest> running = flow.find(key);
    if (stored.isPresent()) {
      answerStored(stored.get(), request, caller);
    } else if (running.isPresent()) {
      addCaller(running.get(), request, caller);
    } else if (!key.id().home().equals(options.home()) && !mayRunLocally(request)) {
      forwardOrRefuse(request, caller);
    } else {
      startOrRefuse(arrive, now);
    }
  }

  /** Returns whether a request whose home is another, unreachable incarnation may run here. */
  private boolean mayRunLocally(Request request) {
    return request.repeatable() && !reachableHomes.contains(request.key().id().home());
  }

  private void answerStored(OutcomeStore.StoredOutcome stored, Request request, CallerId caller) {
    if (stored.matches(request.fingerprint())) {
      actions.reply(caller, request.key(), stored.outcome());
    } else {
      refuseReused(request.key(), caller);
    }
  }

  private void addCaller(ActiveRequest running, Request request, CallerId caller) {
    if (running.request().fingerprint() != request.fingerprint()) {
      refuseReused(request.key(), caller);
    } else if (running.isReplied()) {
      actions.reply(caller, request.key(), pendingOutcome(running));
    } else {
      running.callers().add(caller);
    }
  }

  /**
   * Returns the outcome for callers that arrive after the deadline, while an attempt still runs.
   */
  private static Outcome pendingOutcome(ActiveRequest running) {
    Outcome.Origin origin = Outcome.Origin.local(running.stage().service().value());
    return new Outcome.Refused(
        Outcome.Verdict.UNKNOWN, Reason.DEADLINE, origin, RETRY_AFTER_MILLIS, running.costs());
  }

  private void refuseReused(RequestKey key, CallerId caller) {
    actions.refuse(
        caller,
        key,
        Refusals.notRun(Reason.IDENTIFIER_REUSED, STEP_IDENTIFIER, Outcome.Refused.NEVER));
  }

  private void forwardOrRefuse(Request request, CallerId caller) {
    Home home = request.key().id().home();
    boolean canForward = reachableHomes.contains(home) && !pendingForwards.isFull();
    if (canForward) {
      pendingForwards.onForwarded(caller, request.key(), home, request.deadlineNanos());
      actions.add(new Action.ForwardRequest(home, request, caller));
      return;
    }
    Outcome.Origin origin = new Outcome.Origin("forward", home.toString());
    actions.refuse(caller, request.key(), Refusals.unknown(Reason.HOME_GONE, origin));
  }

  private void startOrRefuse(Event.Arrive arrive, long now) {
    Request request = arrive.request();
    Optional<Outcome.Refused> refusal = refusal(request, now);
    if (refusal.isEmpty()) {
      List<Stage> stages = findStages(request).orElseThrow();
      flow.start(stages, shareOf(request), arrive, now);
      return;
    }
    Outcome.Refused outcome = refusal.get();
    if (!request.repeatable() && outcome.verdict() == Outcome.Verdict.NOT_RUN) {
      outcome = pinRefusal(request, outcome, now);
    }
    actions.refuse(arrive.caller(), request.key(), outcome);
  }

  /**
   * Stores the verdict "not run" for the identifier of a non-repeatable request. Otherwise a
   * duplicate of the request that arrives later could start, which would make the verdict false.
   */
  private Outcome.Refused pinRefusal(Request request, Outcome.Refused outcome, long now) {
    if (!canPin(request.key())) {
      return Refusals.unknown(Reason.INSTANCE_FULL, Outcome.Origin.local(STEP_IDENTIFIER));
    }
    outcomes.put(request.key(), request.fingerprint(), outcome, true, now);
    return outcome;
  }

  /** Returns why a request may not start, or empty if it may. */
  private Optional<Outcome.Refused> refusal(Request request, long now) {
    if (!request.repeatable()) {
      Optional<Outcome.Refused> refusal =
          HomeRule.refusal(request.key().id(), options.wallMillis(now));
      if (refusal.isPresent()) {
        return refusal;
      }
    }
    if (draining) {
      return Optional.of(Refusals.notRun(Reason.LEAVING, STEP_ADMISSION, 0));
    }
    if (flow.size() >= RequestFlow.MAX_ACTIVE_REQUESTS || !canStoreOutcome(request)) {
      return Optional.of(Refusals.notRun(Reason.INSTANCE_FULL, STEP_ADMISSION, RETRY_AFTER_MILLIS));
    }
    Optional<List<Stage>> stages = findStages(request);
    if (stages.isEmpty()) {
      return Optional.of(
          Refusals.notRun(Reason.NO_SUCH_TARGET, STEP_ADMISSION, Outcome.Refused.NEVER));
    }
    return admissionRefusal(request, stages.get(), now);
  }

  private boolean canStoreOutcome(Request request) {
    return request.repeatable() || canPin(request.key());
  }

  private boolean canPin(RequestKey key) {
    return outcomes.canPin(key.workspace(), flow.activeNonRepeatable());
  }

  private Optional<Outcome.Refused> admissionRefusal(
      Request request, List<Stage> stages, long now) {
    for (Stage stage : stages) {
      boolean hasLiveReplica =
          pools.find(stage.service()).filter(pool -> pool.hasLive(now)).isPresent();
      if (!hasLiveReplica) {
        return Optional.of(
            Refusals.notRun(Reason.NO_REPLICA, stage.service().value(), RETRY_AFTER_MILLIS));
      }
      if (dispatcher.queue(stage.service()).size() >= Dispatcher.MAX_QUEUED) {
        return Optional.of(
            Refusals.notRun(Reason.INSTANCE_FULL, stage.service().value(), RETRY_AFTER_MILLIS));
      }
    }
    double remainingMillis = Nanos.toMillis(request.deadlineNanos() - now);
    PathForecast forecast =
        dispatcher.forecast(shareOf(request), request.data(), stages, remainingMillis, now);
    long retryAfterMillis = admission.decide(forecast);
    return retryAfterMillis == Admission.ADMIT
        ? Optional.empty()
        : Optional.of(Refusals.notRun(Reason.OVERLOADED, STEP_ADMISSION, retryAfterMillis));
  }

  private Optional<List<Stage>> findStages(Request request) {
    ObjectName name = request.target().name();
    if (request.target().kind() == Request.TargetKind.PIPELINE) {
      return config.pipeline(name).map(p -> p.stages());
    }
    return config
        .service(name)
        .filter(service -> service.kind() == StageKind.PLAIN)
        .map(Service::name)
        .map(service -> List.of(new Stage(StageKind.PLAIN, service, 0)));
  }

  private WorkspaceShare shareOf(Request request) {
    int share = config.workspace(request.key().workspace()).map(w -> w.share()).orElse(1);
    return new WorkspaceShare(request.key().workspace(), share);
  }

  private void onAsk(Event.Ask ask, long now) {
    RequestKey key = ask.key();
    Optional<OutcomeStore.StoredOutcome> stored = outcomes.find(key, now);
    Optional<ActiveRequest> running = flow.find(key);
    if (stored.isPresent()) {
      actions.reply(ask.caller(), key, stored.get().outcome());
    } else if (running.isPresent()) {
      addQueryingCaller(running.get(), ask);
    } else if (key.id().home().equals(options.home())) {
      answerUnstarted(ask, now);
    } else if (reachableHomes.contains(key.id().home()) && !pendingForwards.isFull()) {
      Home home = key.id().home();
      pendingForwards.onForwarded(ask.caller(), key, home, ask.deadlineNanos());
      long remainingMillis = (long) Nanos.toMillis(ask.deadlineNanos() - now);
      actions.add(new Action.ForwardAsk(home, key, ask.caller(), remainingMillis));
    } else {
      Outcome.Origin origin = new Outcome.Origin("forward", key.id().home().toString());
      actions.refuse(ask.caller(), key, Refusals.unknown(Reason.HOME_GONE, origin));
    }
  }

  private void addQueryingCaller(ActiveRequest running, Event.Ask ask) {
    if (running.isReplied()) {
      actions.reply(ask.caller(), ask.key(), pendingOutcome(running));
    } else {
      running.callers().add(ask.caller());
    }
  }

  /**
   * Answers a query for an identifier of this home under which no request is active and no outcome
   * is stored. The verdict is "not run" only if it can be stored, so that no request starts under
   * the identifier afterwards.
   */
  private void answerUnstarted(Event.Ask ask, long now) {
    Outcome.Refused unknown =
        Refusals.unknown(Reason.NOT_KEPT, Outcome.Origin.local(STEP_IDENTIFIER));
    boolean mayHaveExpired = HomeRule.mayHaveExpired(ask.key().id(), options.wallMillis(now));
    if (mayHaveExpired || !canPin(ask.key())) {
      actions.refuse(ask.caller(), ask.key(), unknown);
      return;
    }
    Outcome.Refused notRun =
        Refusals.notRun(Reason.NOT_KEPT, STEP_IDENTIFIER, Outcome.Refused.NEVER);
    outcomes.put(ask.key(), OutcomeStore.ANY_FINGERPRINT, notRun, true, now);
    actions.refuse(ask.caller(), ask.key(), notRun);
  }
}
