package org.arbutusspar.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.config.ConfigState;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.flow.Action;
import org.arbutusspar.core.flow.AttemptFailure;
import org.arbutusspar.core.flow.CallerId;
import org.arbutusspar.core.flow.Coordinator;
import org.arbutusspar.core.flow.CoordinatorOptions;
import org.arbutusspar.core.flow.Event;
import org.arbutusspar.core.flow.Policy;
import org.arbutusspar.core.id.AttemptId;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.Home;
import org.arbutusspar.core.id.InstanceId;
import org.arbutusspar.core.id.PrefixSigner;
import org.arbutusspar.core.id.ReplicaId;
import org.arbutusspar.core.id.RequestId;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.id.WorkspaceId;
import org.arbutusspar.core.request.Document;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Request;
import org.arbutusspar.core.request.RequestData;
import org.arbutusspar.core.request.StageOutput;

/**
 * Simulation of one scenario with one policy: the coordinators of all instances run against fake
 * replicas on virtual time, as a discrete-event simulation with a seeded random source.
 */
final class PolicyRun {

  private static final long TICK_NANOS = Nanos.ofMillis(10);
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;

  private final Scenario scenario;
  private final UniformRandomProvider random;
  private final List<Coordinator> instances = new ArrayList<>();
  private final Map<ReplicaId, FakeReplica> replicas = new HashMap<>();

  /**
   * Actions that are due, by time; those of the same time in the order in which they were added.
   */
  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::timeNanos)
              .thenComparingLong(ScheduledAction::sequence));

  /** Cancelled attempts, whose responses are not delivered. */
  private final Set<AttemptId> cancelled = new HashSet<>();

  private final Map<CallerId, PendingRequest> pending = new HashMap<>();

  /** For each workspace the number of requests and the number answered within their deadline. */
  private final Map<String, int[]> countsByWorkspace = new TreeMap<>();

  private final PrefixSigner signer = PrefixSigner.create(new byte[16]);
  private final PolicyResult result = new PolicyResult();

  /** Next sequence number of an action, also used as the next caller id. */
  private long nextNumber;

  /** Virtual time, in nanoseconds. */
  private long now = 1;

  private PolicyRun(Scenario scenario, Policy policy, long seed) {
    this.scenario = scenario;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (ListedReplica each : scenario.replicas()) {
      replicas.put(
          each.id(),
          FakeReplica.create(each, scenario.serviceModels().get(each.service().value())));
    }
    for (int i = 0; i < scenario.instances(); i++) {
      Home home = new Home(InstanceId.of("entry-" + i), 1);
      instances.add(
          Coordinator.create(
              new CoordinatorOptions(home, DataCentre.of("dc" + i % 3), policy, seed + i, now, 0)));
    }
  }

  /**
   * Runs a scenario to its end.
   *
   * @param scenario deployment, load and faults
   * @param policy policy of all instances
   * @param seed seed of the arrivals; instance i gets the seed plus i
   * @return the measurements of the run
   */
  static PolicyResult run(Scenario scenario, Policy policy, long seed) {
    PolicyRun run = new PolicyRun(scenario, policy, seed);
    run.start(scenario.config());
    run.runToEnd();
    return run.finish();
  }

  /**
   * A request without an outcome so far.
   *
   * @param instance index of the instance that received it
   * @param workspace workspace of the client
   * @param arrivalNanos virtual time of its arrival, in nanoseconds
   * @param deadlineNanos deadline in virtual time, in nanoseconds
   */
  private record PendingRequest(
      int instance, WorkspaceId workspace, long arrivalNanos, long deadlineNanos) {}

  /**
   * An action at a virtual time.
   *
   * @param timeNanos when it is due, in nanoseconds of virtual time
   * @param sequence number that orders actions of the same time
   * @param action the action
   */
  private record ScheduledAction(long timeNanos, long sequence, Runnable action) {}

  private void schedule(long timeNanos, Runnable action) {
    queue.add(new ScheduledAction(timeNanos, nextNumber++, action));
  }

  private void start(ConfigState config) {
    Set<Home> none = Set.of();
    for (int i = 0; i < instances.size(); i++) {
      handle(i, new Event.PeersChanged(none, instances.size()));
      handle(i, new Event.Configured(config));
      handle(i, new Event.Listed(scenario.replicas()));
    }
    schedule(now + TICK_NANOS, this::tick);
    scenario
        .faults()
        .forEach(f -> schedule((long) (f.startSecond() * NANOS_PER_SECOND), () -> applyFault(f)));
    scheduleNextArrival(0);
  }

  private void applyFault(Scenario.Fault fault) {
    for (FakeReplica replica : replicas.values()) {
      if (fault.affects(replica.listed())) {
        replica.setSlowFactor(fault.slowFactor());
        replica.setDead(fault.dead());
      }
    }
  }

  private void tick() {
    for (int i = 0; i < instances.size(); i++) {
      handle(i, new Event.Tick());
    }
    if (now < (scenario.seconds() + scenario.deadlineSeconds() + 1) * NANOS_PER_SECOND) {
      schedule(now + TICK_NANOS, this::tick);
    }
  }

  /**
   * Schedules the next arrival of a Poisson process whose rate varies over time. Draws candidates
   * at the maximum rate and accepts each with the ratio of the current rate to the maximum
   * (thinning).
   *
   * @param second time of the previous arrival, in seconds since the start
   */
  private void scheduleNextArrival(double second) {
    double next = second;
    double maxRate = scenario.maxRate();
    do {
      next -= Math.log(1 - random.nextDouble()) / maxRate;
    } while (random.nextDouble() * maxRate > scenario.rate(next) && next < scenario.seconds());
    if (next >= scenario.seconds()) {
      return;
    }
    double arrival = next;
    schedule(
        (long) (arrival * NANOS_PER_SECOND) + 1,
        () -> {
          arrive();
          scheduleNextArrival(arrival);
        });
  }

  private void arrive() {
    int instance = scenario.drawInstance(random);
    WorkspaceId workspace = scenario.drawWorkspace(random);
    int tokens = scenario.drawTokens(random);
    CallerId caller = new CallerId(nextNumber++);
    Home home = new Home(InstanceId.of("entry-" + instance), 1);
    long deadline = now + (long) (scenario.deadlineSeconds() * NANOS_PER_SECOND);
    final Request request =
        new Request(
            new RequestKey(workspace, new RequestId(signer.issue(home, 0), "c" + caller.value())),
            new Request.Target(Request.TargetKind.PIPELINE, scenario.pipeline()),
            RequestData.of("q".repeat(40 + random.nextInt(300)), tokens),
            true,
            false,
            deadline,
            1);
    pending.put(caller, new PendingRequest(instance, workspace, now, deadline));
    result.requests++;
    countsByWorkspace.computeIfAbsent(workspace.value(), w -> new int[2])[0]++;
    handle(instance, new Event.Arrive(request, caller, false));
  }

  private void handle(int instance, Event event) {
    for (Action action : instances.get(instance).handle(event, now)) {
      perform(instance, action);
    }
  }

  private void perform(int instance, Action action) {
    if (action instanceof Action.Send send) {
      result.calls++;
      startAttempt(instance, send);
    } else if (action instanceof Action.Cancel cancel) {
      cancelled.add(cancel.attempt());
      replicas.values().forEach(r -> r.removeWaiting(cancel.attempt()));
    } else if (action instanceof Action.Reply reply) {
      onReply(reply);
    } else if (action instanceof Action.Poll poll) {
      FakeReplica replica = replicas.get(poll.replica().id());
      if (!replica.isDead()) {
        schedule(
            now + Nanos.ofMillis(3),
            () ->
                handle(
                    instance,
                    new Event.Polled(poll.service(), poll.replica().id(), replica.report())));
      }
    } else if (action instanceof Action.Record decision) {
      switch (decision.decision().kind()) {
        case RETRY, COPY -> result.extraCalls++;
        default -> {
          // Other decisions are not counted.
        }
      }
    }
  }

  /** Sends a call to its replica; the call fails as not sent if the replica is dead. */
  private void startAttempt(int instance, Action.Send send) {
    FakeReplica replica = replicas.get(send.replica().id());
    if (replica.isDead()) {
      schedule(now + Nanos.ofMillis(1), () -> fail(instance, send, AttemptFailure.Kind.NOT_SENT));
      return;
    }
    FakeReplica.Call call = new FakeReplica.Call(instance, send.attempt(), send);
    if (replica.enqueue(call)) {
      startCall(replica, call);
    }
  }

  private void fail(int instance, Action.Send send, AttemptFailure.Kind kind) {
    handle(
        instance,
        new Event.AttemptFailed(
            send.attempt(), new AttemptFailure(kind, "fake"), Optional.empty()));
  }

  private void startCall(FakeReplica replica, FakeReplica.Call call) {
    long end = now + (long) (replica.durationMillis(call.send()) * NANOS_PER_MILLI);
    schedule(end, () -> endCall(replica, call));
  }

  /** Ends a call at its replica, starts the next queued one, and delivers the response. */
  private void endCall(FakeReplica replica, FakeReplica.Call call) {
    if (replica.isDead()) {
      fail(call.instance(), call.send(), AttemptFailure.Kind.LOST);
      return;
    }
    FakeReplica.Call next = replica.endCall();
    if (next != null) {
      startCall(replica, next);
    }
    if (!cancelled.remove(call.attempt())) {
      handle(
          call.instance(),
          new Event.Replied(call.attempt(), output(call.send()), Optional.of(replica.report())));
    }
  }

  /** Returns a well-formed response of a stage with fixed contents. */
  private static StageOutput output(Action.Send send) {
    StageKind kind = send.service().kind();
    int limit = send.stage().limit();
    return switch (kind) {
      case ENCODE -> new StageOutput.Encoded(List.of(1.0));
      case RETRIEVE -> {
        List<Document> documents = new ArrayList<>();
        for (int i = 0; i < limit; i++) {
          documents.add(new Document("d" + i, "t", 1));
        }
        yield new StageOutput.Retrieved(documents);
      }
      case RERANK -> new StageOutput.Ranked(List.of(0, 1, 2, 3, 4));
      case GENERATE -> new StageOutput.Generated("a", true);
      case PLAIN -> new StageOutput.Plain("{}");
    };
  }

  private void onReply(Action.Reply reply) {
    PendingRequest request = pending.remove(reply.caller());
    boolean inTime = reply.outcome() instanceof Outcome.Answered && now <= request.deadlineNanos();
    double price = reply.outcome().costs().stream().mapToDouble(Outcome.StageCost::price).sum();
    result.price += price;
    result.wastedPrice += inTime ? 0 : price;
    result.inTime += inTime ? 1 : 0;
    boolean rejected =
        reply.outcome() instanceof Outcome.Refused r && r.verdict() == Outcome.Verdict.NOT_RUN;
    result.rejected += rejected ? 1 : 0;
    countsByWorkspace.get(request.workspace().value())[1] += inTime ? 1 : 0;
    if (!inTime && request.arrivalNanos() > scenario.faultEndSecond() * NANOS_PER_SECOND) {
      result.lastMissArrivalSecond =
          Math.max(result.lastMissArrivalSecond, request.arrivalNanos() / NANOS_PER_SECOND);
    }
  }

  private void runToEnd() {
    while (!queue.isEmpty()) {
      ScheduledAction next = queue.remove();
      now = Math.max(now, next.timeNanos());
      next.action().run();
    }
  }

  private PolicyResult finish() {
    result.faultEndSecond = scenario.faultEndSecond();
    double worst = 1;
    double overall = result.requests == 0 ? 1 : result.inTime / (double) result.requests;
    for (int[] counts : countsByWorkspace.values()) {
      worst = Math.min(worst, counts[1] / (double) counts[0] / Math.max(1e-9, overall));
    }
    result.worstWorkspaceRatio = worst;
    return result;
  }
}
