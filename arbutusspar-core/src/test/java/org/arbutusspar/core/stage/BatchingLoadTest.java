package org.arbutusspar.core.stage;

import static org.arbutusspar.core.stage.Pieces.HERE;
import static org.arbutusspar.core.stage.Pieces.allMade;
import static org.arbutusspar.core.stage.Pieces.millis;
import static org.arbutusspar.core.stage.Pieces.replica;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.routing.PieceLimits;
import org.junit.jupiter.api.Test;

/**
 * Replays the load of one service of four replicas, with four pieces a request, as one queue and as
 * six: gathering in one place carries a load that six places cannot.
 */
class BatchingLoadTest {

  private static final PieceLimits LIMITS = new PieceLimits(1, 17, 240, 11.8, 100_000_000, 4_000);
  private static final int PIECES = 4;
  private static final long LENGTH = millis(30_000);
  private static final long SPARE = millis(900);

  private final PriorityQueue<Timed> events =
      new PriorityQueue<>(Comparator.comparingLong(Timed::at));
  private final Map<String, Integer> missing = new HashMap<>();
  private boolean admission;
  private int inTime;
  private int asked;

  private record Timed(long at, Runnable task) {}

  private double shareInTime(int places, double perSecond, PieceOrder order) {
    List<PieceBatcher> batchers = new ArrayList<>();
    Map<String, Long> busyUntil = new HashMap<>();
    List<UpstreamReplica> replicas = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      replicas.add(replica("r" + i, HERE));
    }
    for (int i = 0; i < places; i++) {
      PieceBatcher batcher = PieceBatcher.create("s", LIMITS, order);
      batcher.replicas(replicas);
      batchers.add(batcher);
    }
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7L);
    double at = 0;
    while (at < LENGTH) {
      at += -Math.log(1 - random.nextDouble()) / perSecond * 1e9;
      PieceBatcher batcher = batchers.get(random.nextInt(places));
      long arrival = (long) at;
      String id = "q" + asked++;
      events.add(new Timed(arrival, () -> arrive(batcher, id, arrival, busyUntil)));
    }
    while (!events.isEmpty()) {
      events.poll().task().run();
    }
    return (double) inTime / asked;
  }

  private void arrive(PieceBatcher batcher, String id, long now, Map<String, Long> busyUntil) {
    double wait = batcher.queueWait(now).millis(false);
    double target = 900;
    if (admission
        && StageAdmission.decide(300, wait, target, 8_000, 0, false)
            != StageAdmission.Verdict.TAKE) {
      return;
    }
    missing.put(id, PIECES);
    for (int i = 0; i < PIECES; i++) {
      batcher.submit(
          new Piece(
              new PieceId(id, 0, i),
              "o",
              "k",
              List.of(),
              0,
              now + SPARE - millis(300),
              now + millis(8_000),
              1,
              Optional.empty(),
              0));
    }
    pump(batcher, now, busyUntil);
  }

  /** A replica works on one call at a time, whichever instance it comes from. */
  private void pump(PieceBatcher batcher, long now, Map<String, Long> busyUntil) {
    for (PieceCall call : batcher.nextCalls(now)) {
      long start = Math.max(now, busyUntil.getOrDefault(call.replica().id(), 0L));
      long end = start + millis((long) LIMITS.millis(call.pieces().size()));
      busyUntil.put(call.replica().id(), end);
      events.add(new Timed(end, () -> finish(batcher, call, end, busyUntil)));
    }
  }

  private void finish(PieceBatcher batcher, PieceCall call, long now, Map<String, Long> busyUntil) {
    for (PieceOutcome outcome :
        batcher.complete(call.number(), allMade(call), "self", now).outcomes()) {
      batcher.onReleased(outcome.result().orElseThrow().handle());
      String id = outcome.id().requestId();
      if (missing.merge(id, -1, Integer::sum) == 0 && now <= startOf(call, id) + SPARE) {
        inTime++;
      }
    }
    pump(batcher, now, busyUntil);
  }

  private static long startOf(PieceCall call, String id) {
    Piece piece =
        call.pieces().stream().filter(p -> p.id().requestId().equals(id)).findFirst().orElseThrow();
    return piece.startBy() - SPARE + millis(300);
  }

  @Test
  void oneQueueCarriesWhatSixCannot() {
    double one = new BatchingLoadTest().shareInTime(1, 30, UrgencyOrder.create());
    double six = new BatchingLoadTest().shareInTime(6, 30, UrgencyOrder.create());
    assertTrue(one > 0.95, "one queue: " + one);
    assertTrue(six < 0.5, "six queues: " + six);
  }

  /** Capacity is 0.7 of this load: more cannot be in time. */
  @Test
  void pastCapacityAdmissionKeepsMostOfTheCapacityForRequestsInTime() {
    BatchingLoadTest withAdmission = new BatchingLoadTest();
    withAdmission.admission = true;
    double refusing = withAdmission.shareInTime(1, 55, UrgencyOrder.create());
    double urgency = new BatchingLoadTest().shareInTime(1, 55, UrgencyOrder.create());
    double arrival = new BatchingLoadTest().shareInTime(1, 55, ArrivalOrder.create());
    assertTrue(refusing > 0.5, "with admission: " + refusing);
    assertTrue(urgency < refusing, "by urgency without admission: " + urgency);
    assertTrue(arrival < 0.1, "by arrival without admission: " + arrival);
  }
}
