package org.arbutusspar.core.stage;

import static org.arbutusspar.core.stage.Pieces.HERE;
import static org.arbutusspar.core.stage.Pieces.allComputed;
import static org.arbutusspar.core.stage.Pieces.millis;
import static org.arbutusspar.core.stage.Pieces.replica;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.arbutusspar.core.placement.ReturnTimes;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.placement.UsualLoad;
import org.arbutusspar.core.routing.PieceLimits;

/**
 * Replays bursts of one kind of request with stages while others come as usual: one service of four
 * replicas, one batcher, 12 instances that learn of its queue wait with a delay. Clients return
 * once after a rejection.
 */
final class StageReplay {

  private static final PieceLimits LIMITS = new PieceLimits(1, 17, 240, 11.8, 100_000_000, 4_000);
  private static final int PIECES_PER_REQUEST = 4;
  private static final int INSTANCES = 12;
  private static final double WORK_MILLIS = 450;
  private static final double WAIT_REPORT_MILLIS = 480;
  private static final double BURST_START_MILLIS = 15_000;
  private static final double BURST_MILLIS = 6_000;
  private static final double END_MILLIS = 25_000;

  /** Number of requests that the replicas can serve during the burst. */
  static final double BURST_CAPACITY =
      4 * 17 / LIMITS.millis(17) * BURST_MILLIS / PIECES_PER_REQUEST;

  /** A kind of request, by priority rank. */
  enum Kind {
    URGENT(0, 6, 1_000, 12_000),
    NORMAL(1, 12, 2_000, 12_000),
    PATIENT(2, 10, 4_000, 6_000);

    private final int priority;
    private final double perSecond;
    private final double targetMillis;
    private final double deadlineMillis;

    Kind(int priority, double perSecond, double targetMillis, double deadlineMillis) {
      this.priority = priority;
      this.perSecond = perSecond;
      this.targetMillis = targetMillis;
      this.deadlineMillis = deadlineMillis;
    }
  }

  private record Attempt(Kind kind, int instance, double firstAt, boolean isReturn) {}

  private record Event(double at, Runnable task) {}

  /** What became of the requests of a kind that were sent during the burst. */
  static final class Outcome {
    int sent;
    int inTime;
    int rejectedTwice;

    double inTimeShare() {
      return (double) inTime / sent;
    }

    @Override
    public String toString() {
      return "sent %d in time %d rejected twice %d".formatted(sent, inTime, rejectedTwice);
    }
  }

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::at));
  private final Random random = new Random(5);
  private final PieceBatcher batcher = PieceBatcher.create("s", LIMITS, UrgencyOrder.create());
  private final Map<String, UsualLoad> loads = new HashMap<>();
  private final Map<Integer, WaitByUrgency> waitsByUrgency = new HashMap<>();
  private final Map<String, Attempt> running = new HashMap<>();
  private final Map<String, Integer> missingPieces = new HashMap<>();
  private final Map<Kind, Outcome> outcomes = new HashMap<>();
  private final ReturnTimes returnTimes = ReturnTimes.create();
  private final WaitShares shares;
  private double nowMillis;
  private double knownWaitMillis;
  private int requests;

  StageReplay(WaitShares shares) {
    this.shares = shares;
  }

  /** Runs the replay with the rates of some kinds multiplied, and returns the outcomes. */
  Map<Kind, Outcome> replay(Map<Kind, Double> bursts) {
    List<UpstreamReplica> replicas = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      replicas.add(replica("r" + i, HERE));
    }
    batcher.replicas(replicas);
    for (Kind kind : Kind.values()) {
      outcomes.put(kind, new Outcome());
      double at = 0;
      while (at < END_MILLIS) {
        double factor = isBurst(at) ? bursts.getOrDefault(kind, 1.0) : 1;
        at += -Math.log(1 - random.nextDouble()) * 1_000 / (kind.perSecond * factor);
        Attempt attempt = new Attempt(kind, random.nextInt(INSTANCES), at, false);
        events.add(new Event(at, () -> arrive(attempt)));
      }
    }
    for (double at = 0; at < END_MILLIS; at += WAIT_REPORT_MILLIS) {
      events.add(new Event(at, () -> knownWaitMillis = batcher.queueWait(now()).millis(false)));
    }
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMillis = event.at();
      event.task().run();
    }
    return outcomes;
  }

  private static boolean isBurst(double millis) {
    return millis >= BURST_START_MILLIS && millis < BURST_START_MILLIS + BURST_MILLIS;
  }

  private long now() {
    return millis((long) nowMillis);
  }

  private void arrive(Attempt attempt) {
    Kind kind = attempt.kind();
    if (isBurst(attempt.firstAt()) && !attempt.isReturn()) {
      outcomes.get(kind).sent++;
    }
    UsualLoad load =
        loads.computeIfAbsent(kind + "-" + attempt.instance(), name -> UsualLoad.create());
    boolean within = load.onRequest(now());
    double left = attempt.firstAt() + kind.deadlineMillis - nowMillis;
    boolean recognized = left < 0.8 * kind.deadlineMillis;
    double share = shares.share(kind.priority, recognized, within);
    WaitByUrgency waits =
        waitsByUrgency.computeIfAbsent(attempt.instance(), i -> WaitByUrgency.create());
    double orderMillis = kind.targetMillis - WORK_MILLIS + 250 * kind.priority;
    double waitMillis = waits.waitMillis(orderMillis, knownWaitMillis, now());
    if (shares == WaitShares.BY_PRIORITY) {
      waitMillis = knownWaitMillis;
    } else if (!within && !recognized) {
      waitMillis = Math.max(waitMillis, knownWaitMillis);
    }
    double targetMillis = kind.targetMillis;
    if (recognized && shares != WaitShares.BY_PRIORITY) {
      targetMillis =
          StageAdmission.clientRetryTargetMillis(
              WORK_MILLIS, targetMillis, kind.deadlineMillis - left);
    }
    var verdict = StageAdmission.decide(WORK_MILLIS, waitMillis, targetMillis, left, share);
    if (verdict == StageAdmission.Verdict.TAKE) {
      waits.onRequest(kind.name(), orderMillis, PIECES_PER_REQUEST, now());
      submit(attempt);
    } else if (attempt.isReturn()) {
      outcomes.get(kind).rejectedTwice += isBurst(attempt.firstAt()) ? 1 : 0;
    } else {
      Attempt next = new Attempt(kind, random.nextInt(INSTANCES), attempt.firstAt(), true);
      events.add(new Event(nowMillis + returnMillis(kind, left), () -> arrive(next)));
    }
  }

  private double returnMillis(Kind kind, double left) {
    if (shares == WaitShares.BY_PRIORITY) {
      return 0.31 * left * (0.5 + 0.5 * random.nextDouble());
    }
    double room = Math.max(0, WORK_MILLIS + knownWaitMillis - kind.targetMillis);
    double latest = kind.targetMillis - WORK_MILLIS;
    return returnTimes.afterMillis(
        new ReturnTimes.Rejection(left, latest, room, random.nextDouble()), 0, now());
  }

  private void submit(Attempt attempt) {
    String id = "q" + requests++;
    running.put(id, attempt);
    missingPieces.put(id, PIECES_PER_REQUEST);
    Kind kind = attempt.kind();
    for (int i = 0; i < PIECES_PER_REQUEST; i++) {
      batcher.submit(
          new Piece(
              new PieceId(id, 0, i),
              "o",
              "k",
              List.of(),
              kind.priority,
              now() + millis((long) (kind.targetMillis - WORK_MILLIS)),
              now() + millis((long) kind.deadlineMillis),
              1,
              Optional.empty(),
              0));
    }
    startCalls();
  }

  private void startCalls() {
    for (PieceCall call : batcher.nextCalls(now())) {
      double end = nowMillis + LIMITS.millis(call.pieces().size());
      events.add(new Event(end, () -> finish(call)));
    }
  }

  private void finish(PieceCall call) {
    for (PieceOutcome outcome :
        batcher.complete(call.number(), allComputed(call), "self", now()).outcomes()) {
      outcome.result().ifPresent(result -> batcher.onReleased(result.handle()));
      String id = outcome.id().requestId();
      Attempt attempt = running.get(id);
      if (missingPieces.merge(id, -1, Integer::sum) == 0
          && isBurst(attempt.firstAt())
          && nowMillis <= attempt.firstAt() + attempt.kind().targetMillis) {
        outcomes.get(attempt.kind()).inTime++;
      }
    }
    startCalls();
  }
}
