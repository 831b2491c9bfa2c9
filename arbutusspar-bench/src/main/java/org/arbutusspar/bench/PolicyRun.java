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

/** One run of several instances with one policy through one scenario, on virtual time. */
final class PolicyRun {

  private static final long TICK_NANOS = Nanos.ofMillis(10);
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;

  private final Scenario scenario;
  private final UniformRandomProvider random;
  private final List<Coordinator> instances = new ArrayList<>();
  private final Map<ReplicaId, FakeReplica> replicas = new HashMap<>();
  private final PriorityQueue<Happening> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Happening::nanos).thenComparingLong(Happening::number));
  private final Set<AttemptId> cancelled = new HashSet<>();
  private final Map<CallerId, Sent> waiting = new HashMap<>();
  private final Map<String, int[]> byWorkspace = new TreeMap<>();
  private final PrefixSigner signer = PrefixSigner.create(new byte[16]);
  private final PolicyFigure figure = new PolicyFigure();
  private long number;
  private long now = 1;

  private PolicyRun(Scenario scenario, Policy policy, long seed) {
    this.scenario = scenario;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    for (ListedReplica each : scenario.replicas()) {
      replicas.put(
          each.id(), FakeReplica.create(each, scenario.models().get(each.service().value())));
    }
    for (int i = 0; i < scenario.instances(); i++) {
      Home home = new Home(InstanceId.of("entry-" + i), 1);
      instances.add(
          Coordinator.create(
              new CoordinatorOptions(home, DataCentre.of("dc" + i % 3), policy, seed + i, now, 0)));
    }
  }

  /** Runs a scenario and returns its figures. */
  static PolicyFigure run(Scenario scenario, Policy policy, long seed) {
    PolicyRun run = new PolicyRun(scenario, policy, seed);
    run.start(scenario.config());
    run.loop();
    return run.finish();
  }

  private record Sent(int instance, WorkspaceId workspace, long nanos, long deadlineNanos) {}

  private record Happening(long nanos, long number, Runnable action) {}

  private void at(long nanos, Runnable action) {
    queue.add(new Happening(nanos, number++, action));
  }

  private void start(ConfigState config) {
    Set<Home> none = Set.of();
    for (int i = 0; i < instances.size(); i++) {
      handle(i, new Event.PeersChanged(none, instances.size()));
      handle(i, new Event.Configured(config));
      handle(i, new Event.Listed(scenario.replicas()));
    }
    at(now + TICK_NANOS, this::tick);
    scenario.faults().forEach(f -> at((long) (f.second() * NANOS_PER_SECOND), () -> fault(f)));
    arriveNext(0);
  }

  private void fault(Scenario.Fault fault) {
    for (FakeReplica replica : replicas.values()) {
      if (fault.concerns(replica.listed())) {
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
      at(now + TICK_NANOS, this::tick);
    }
  }

  private void arriveNext(double second) {
    double next = second;
    double max = scenario.maxRate();
    do {
      next -= Math.log(1 - random.nextDouble()) / max;
    } while (random.nextDouble() * max > scenario.rate(next) && next < scenario.seconds());
    if (next >= scenario.seconds()) {
      return;
    }
    double arrival = next;
    at(
        (long) (arrival * NANOS_PER_SECOND) + 1,
        () -> {
          arrive();
          arriveNext(arrival);
        });
  }

  private void arrive() {
    int instance = scenario.drawInstance(random);
    WorkspaceId workspace = scenario.drawWorkspace(random);
    int tokens = scenario.drawTokens(random);
    CallerId caller = new CallerId(number++);
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
    waiting.put(caller, new Sent(instance, workspace, now, deadline));
    figure.requests++;
    byWorkspace.computeIfAbsent(workspace.value(), w -> new int[2])[0]++;
    handle(instance, new Event.Arrive(request, caller, false));
  }

  private void handle(int instance, Event event) {
    for (Action action : instances.get(instance).handle(event, now)) {
      perform(instance, action);
    }
  }

  private void perform(int instance, Action action) {
    if (action instanceof Action.Send send) {
      figure.calls++;
      send(instance, send);
    } else if (action instanceof Action.Cancel cancel) {
      cancelled.add(cancel.attempt());
      replicas.values().forEach(r -> r.cancel(cancel.attempt()));
    } else if (action instanceof Action.Reply reply) {
      onReply(reply);
    } else if (action instanceof Action.Poll poll) {
      FakeReplica replica = replicas.get(poll.replica().id());
      if (!replica.isDead()) {
        at(
            now + Nanos.ofMillis(3),
            () ->
                handle(
                    instance,
                    new Event.Polled(poll.service(), poll.replica().id(), replica.report())));
      }
    } else if (action instanceof Action.Record decision) {
      switch (decision.decision().kind()) {
        case RETRY, COPY -> figure.extraCalls++;
        default -> {
          // Other decisions are not counted.
        }
      }
    }
  }

  private void send(int instance, Action.Send send) {
    FakeReplica replica = replicas.get(send.replica().id());
    if (replica.isDead()) {
      at(now + Nanos.ofMillis(1), () -> fail(instance, send, AttemptFailure.Kind.NOT_SENT));
      return;
    }
    FakeReplica.Call call = new FakeReplica.Call(instance, send.attempt(), send);
    if (replica.offer(call)) {
      begin(replica, call);
    }
  }

  private void fail(int instance, Action.Send send, AttemptFailure.Kind kind) {
    handle(
        instance,
        new Event.AttemptFailed(
            send.attempt(), new AttemptFailure(kind, "fake"), Optional.empty()));
  }

  private void begin(FakeReplica replica, FakeReplica.Call call) {
    long end = now + (long) (replica.millis(call.send()) * NANOS_PER_MILLI);
    at(end, () -> end(replica, call));
  }

  private void end(FakeReplica replica, FakeReplica.Call call) {
    if (replica.isDead()) {
      fail(call.instance(), call.send(), AttemptFailure.Kind.LOST);
      return;
    }
    FakeReplica.Call next = replica.end();
    if (next != null) {
      begin(replica, next);
    }
    if (!cancelled.remove(call.attempt())) {
      handle(
          call.instance(),
          new Event.Replied(call.attempt(), output(call.send()), Optional.of(replica.report())));
    }
  }

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
    Sent sent = waiting.remove(reply.caller());
    boolean good = reply.outcome() instanceof Outcome.Answered && now <= sent.deadlineNanos();
    double price = reply.outcome().costs().stream().mapToDouble(Outcome.StageCost::price).sum();
    figure.price += price;
    figure.wastedPrice += good ? 0 : price;
    figure.inTime += good ? 1 : 0;
    boolean refused =
        reply.outcome() instanceof Outcome.Refused r && r.verdict() == Outcome.Verdict.NOT_RUN;
    figure.refused += refused ? 1 : 0;
    byWorkspace.get(sent.workspace().value())[1] += good ? 1 : 0;
    if (!good && sent.nanos() > scenario.faultEndSecond() * NANOS_PER_SECOND) {
      figure.lastMissSecond = Math.max(figure.lastMissSecond, sent.nanos() / NANOS_PER_SECOND);
    }
  }

  private void loop() {
    while (!queue.isEmpty()) {
      Happening next = queue.remove();
      now = Math.max(now, next.nanos());
      next.action().run();
    }
  }

  private PolicyFigure finish() {
    figure.faultEndSecond = scenario.faultEndSecond();
    double least = 1;
    double all = figure.requests == 0 ? 1 : figure.inTime / (double) figure.requests;
    for (int[] counts : byWorkspace.values()) {
      least = Math.min(least, counts[1] / (double) counts[0] / Math.max(1e-9, all));
    }
    figure.leastWorkspace = least;
    return figure;
  }
}
