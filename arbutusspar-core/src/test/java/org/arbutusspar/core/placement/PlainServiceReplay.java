package org.arbutusspar.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;

/**
 * Replays requests of several kinds from many instances to three replicas with six slots and a
 * queue of 24 each, with or without {@link PlainServiceLimit}. Clients return once after a
 * rejection.
 */
final class PlainServiceReplay {

  static final double TARGET_MILLIS = 200;
  private static final double DEADLINE_MILLIS = 1_000;
  private static final double MEAN_WORK_MILLIS = 43;
  private static final int REPLICAS = 3;
  private static final int SLOTS = 6;
  private static final int QUEUE = 24;
  private static final double WARM_UP_MILLIS = 20_000;
  private static final double BURST_MILLIS = 5_000;
  private static final double END_MILLIS = 32_000;

  /** Number of requests that the replicas can serve during the burst. */
  static final double BURST_CAPACITY = REPLICAS * SLOTS * BURST_MILLIS / MEAN_WORK_MILLIS;

  /** What became of the requests of a kind that were sent during the burst. */
  static final class Outcome {
    int sent;
    int inTime;
    int late;
    int rejected;
    int rejectedTwice;

    double inTimeShare() {
      return (double) inTime / sent;
    }

    @Override
    public String toString() {
      return "sent %d in time %d late %d rejected %d after return %d"
          .formatted(sent, inTime, late, rejected, rejectedTwice);
    }
  }

  private record Event(double at, int order, Runnable action) {}

  private record Attempt(String kind, int instance, double firstAt, boolean isReturn) {}

  private static final class Replica {
    final UpstreamReplica listed;
    final Deque<Runnable> waiting = new ArrayDeque<>();
    int running;

    Replica(int number) {
      Endpoint endpoint = new Endpoint("10.0.0." + number, 80);
      listed =
          new UpstreamReplica("r" + number, "s", endpoint, DataCentre.of("a"), SLOTS, false, 0);
    }

    StatedLoad load() {
      return new StatedLoad(running, waiting.size(), SLOTS, OptionalInt.empty());
    }
  }

  private final int instances;
  private final boolean limited;
  private final double abusiveShare;
  private final Random random = new Random(11);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingInt(Event::order));
  private final List<Replica> replicas = new ArrayList<>();
  private final List<ReplicaRegistry> registries = new ArrayList<>();
  private final List<PlainServiceLimit> limits = new ArrayList<>();
  private final List<ReturnTimes> returns = new ArrayList<>();
  private final Map<String, Outcome> outcomes = new HashMap<>();
  private double nowMillis;
  private int scheduled;

  /**
   * Creates a replay.
   *
   * @param instances number of instances
   * @param limited whether requests are limited; otherwise the bound of each replica decides alone
   * @param abusiveShare share of clients that return at once, whatever they are told
   */
  PlainServiceReplay(int instances, boolean limited, double abusiveShare) {
    this.instances = instances;
    this.limited = limited;
    this.abusiveShare = abusiveShare;
    for (int i = 0; i < REPLICAS; i++) {
      replicas.add(new Replica(i));
    }
    for (int i = 0; i < instances; i++) {
      ReplicaRegistry registry = ReplicaRegistry.create();
      registry.replace(replicas.stream().map(replica -> replica.listed).toList());
      registries.add(registry);
      limits.add(PlainServiceLimit.create());
      returns.add(ReturnTimes.create());
    }
  }

  /** Adds a kind with a rate in requests a second that is multiplied during the burst. */
  PlainServiceReplay kind(String kind, double perSecond, double burstFactor) {
    outcomes.put(kind, new Outcome());
    double at = 0;
    while (at < END_MILLIS) {
      double rate = isBurst(at) ? perSecond * burstFactor : perSecond;
      at += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
      double firstAt = at;
      schedule(at, () -> arrive(new Attempt(kind, instance(), firstAt, false)));
    }
    return this;
  }

  private static boolean isBurst(double millis) {
    return millis >= WARM_UP_MILLIS && millis < WARM_UP_MILLIS + BURST_MILLIS;
  }

  private int instance() {
    return random.nextInt(instances);
  }

  private void schedule(double at, Runnable action) {
    events.add(new Event(at, scheduled++, action));
  }

  /** Runs the replay and returns the outcomes by kind. */
  Map<String, Outcome> run() {
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMillis = event.at();
      event.action().run();
    }
    return outcomes;
  }

  private long now() {
    return (long) (nowMillis * 1_000_000);
  }

  private double leftMillis(Attempt attempt) {
    return attempt.firstAt() + DEADLINE_MILLIS - nowMillis;
  }

  private void arrive(Attempt attempt) {
    if (isBurst(attempt.firstAt()) && !attempt.isReturn()) {
      outcomes.get(attempt.kind()).sent++;
    }
    double queuePerSlot = 1;
    double roomMillis = 0;
    if (limited) {
      PlainServiceLimit.Decision decision = decide(attempt);
      if (decision.verdict() != PlainServiceLimit.Verdict.TAKE) {
        reject(attempt, Math.max(0, decision.waitMillis() - decision.maxWaitMillis()));
        return;
      }
      queuePerSlot = decision.maxQueuePerSlot();
    }
    PlacementRequest request = new PlacementRequest("s", 0, Set.of(), true, random.nextLong());
    registries
        .get(attempt.instance())
        .choose(request, LeastLoadPlacement.create(), queuePerSlot, now())
        .ifPresentOrElse(
            chosen -> send(attempt, replicas.get(chosen.id().charAt(1) - '0')),
            () -> reject(attempt, roomMillis));
  }

  private PlainServiceLimit.Decision decide(Attempt attempt) {
    return limits
        .get(attempt.instance())
        .decide(
            new PlainServiceLimit.Request(
                attempt.kind(),
                2,
                TARGET_MILLIS,
                leftMillis(attempt),
                leftMillis(attempt) < 0.8 * DEADLINE_MILLIS,
                random.nextDouble()),
            now());
  }

  private void send(Attempt attempt, Replica replica) {
    double sentAt = nowMillis;
    registries.get(attempt.instance()).onSent(replica.listed);
    if (replica.waiting.size() >= QUEUE) {
      respond(attempt, replica);
      reject(attempt, 0);
      return;
    }
    Runnable start =
        () -> {
          replica.running++;
          double work = MEAN_WORK_MILLIS * (0.5 - 0.5 * Math.log(1 - random.nextDouble()));
          schedule(nowMillis + work, () -> finish(attempt, replica, sentAt));
        };
    if (replica.running < SLOTS) {
      start.run();
    } else {
      replica.waiting.add(start);
    }
  }

  private void finish(Attempt attempt, Replica replica, double sentAt) {
    replica.running--;
    if (!replica.waiting.isEmpty()) {
      replica.waiting.remove().run();
    }
    respond(attempt, replica);
    double millis = nowMillis - sentAt;
    registries.get(attempt.instance()).onValidResponse(replica.listed, millis, now());
    limits.get(attempt.instance()).onValidResponse(millis, replica.load());
    if (isBurst(attempt.firstAt())) {
      Outcome outcome = outcomes.get(attempt.kind());
      double total = nowMillis - attempt.firstAt();
      outcome.inTime += total <= TARGET_MILLIS ? 1 : 0;
      outcome.late += total > TARGET_MILLIS && total <= DEADLINE_MILLIS ? 1 : 0;
    }
  }

  private void respond(Attempt attempt, Replica replica) {
    ReplicaRegistry registry = registries.get(attempt.instance());
    registry.onEnded(replica.listed);
    registry.onReport(replica.listed, replica.load(), now());
    limits.get(attempt.instance()).onReport(replica.load(), now());
  }

  private void reject(Attempt attempt, double roomMillis) {
    if (attempt.isReturn()) {
      outcomes.get(attempt.kind()).rejectedTwice += isBurst(attempt.firstAt()) ? 1 : 0;
      return;
    }
    outcomes.get(attempt.kind()).rejected += isBurst(attempt.firstAt()) ? 1 : 0;
    boolean atOnce = random.nextDouble() < abusiveShare;
    double after = atOnce ? 1 : returnMillis(attempt, roomMillis);
    Attempt next = new Attempt(attempt.kind(), instance(), attempt.firstAt(), true);
    schedule(nowMillis + after, () -> arrive(next));
  }

  private double returnMillis(Attempt attempt, double roomMillis) {
    double left = leftMillis(attempt);
    if (!limited) {
      return 0.31 * left * (0.5 + 0.5 * random.nextDouble());
    }
    double latest = TARGET_MILLIS - (nowMillis - attempt.firstAt()) - MEAN_WORK_MILLIS;
    var rejection = new ReturnTimes.Rejection(left, latest, roomMillis, random.nextDouble());
    double roomPerSecond = REPLICAS * SLOTS * 1_000 / MEAN_WORK_MILLIS / instances;
    return returns
        .get(attempt.instance())
        .afterMillis(rejection, roomPerSecond, Nanos.ofMillis((long) nowMillis));
  }
}
