package org.arbutusspar.core.stage;

import static org.arbutusspar.core.stage.Pieces.HERE;
import static org.arbutusspar.core.stage.Pieces.allComputed;
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
 * Guards against batching that does not fill calls: the fixed time of each call then uses up the
 * replicas' capacity, and requests miss their target time. Simulates one service of four replicas
 * with four pieces per request, with one batcher for all requests and with six.
 */
class BatchingLoadTest {

  private static final PieceLimits LIMITS = new PieceLimits(1, 17, 240, 11.8, 100_000_000, 4_000);
  private static final int PIECES_PER_REQUEST = 4;
  private static final long DURATION_NANOS = millis(30_000);
  private static final long TARGET_NANOS = millis(900);

  private final PriorityQueue<TimedEvent> events =
      new PriorityQueue<>(Comparator.comparingLong(TimedEvent::at));
  private final Map<String, Integer> missingPieces = new HashMap<>();
  private boolean admission;
  private int inTime;
  private int requests;

  private record TimedEvent(long at, Runnable task) {}

  private double shareInTime(int batcherCount, double perSecond, PieceOrder order) {
    List<PieceBatcher> batchers = new ArrayList<>();
    Map<String, Long> busyUntil = new HashMap<>();
    List<UpstreamReplica> replicas = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      replicas.add(replica("r" + i, HERE));
    }
    for (int i = 0; i < batcherCount; i++) {
      PieceBatcher batcher = PieceBatcher.create("s", LIMITS, order);
      batcher.replicas(replicas);
      batchers.add(batcher);
    }
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7L);
    double at = 0;
    while (at < DURATION_NANOS) {
      at += -Math.log(1 - random.nextDouble()) / perSecond * 1e9;
      PieceBatcher batcher = batchers.get(random.nextInt(batcherCount));
      long arrivedAt = (long) at;
      String id = "q" + requests++;
      events.add(new TimedEvent(arrivedAt, () -> arrive(batcher, id, arrivedAt, busyUntil)));
    }
    while (!events.isEmpty()) {
      events.poll().task().run();
    }
    return (double) inTime / requests;
  }

  private void arrive(PieceBatcher batcher, String id, long now, Map<String, Long> busyUntil) {
    double waitMillis = batcher.queueWait(now).millis(false);
    double targetMillis = 900;
    if (admission
        && StageAdmission.decide(300, waitMillis, targetMillis, 8_000, 0, false)
            != StageAdmission.Verdict.TAKE) {
      return;
    }
    missingPieces.put(id, PIECES_PER_REQUEST);
    for (int i = 0; i < PIECES_PER_REQUEST; i++) {
      batcher.submit(
          new Piece(
              new PieceId(id, 0, i),
              "o",
              "k",
              List.of(),
              0,
              now + TARGET_NANOS - millis(300),
              now + millis(8_000),
              1,
              Optional.empty(),
              0));
    }
    startCalls(batcher, now, busyUntil);
  }

  /** Starts the next calls. A replica runs one call at a time, from whichever batcher. */
  private void startCalls(PieceBatcher batcher, long now, Map<String, Long> busyUntil) {
    for (PieceCall call : batcher.nextCalls(now)) {
      long start = Math.max(now, busyUntil.getOrDefault(call.replica().id(), 0L));
      long end = start + millis((long) LIMITS.millis(call.pieces().size()));
      busyUntil.put(call.replica().id(), end);
      events.add(new TimedEvent(end, () -> finish(batcher, call, end, busyUntil)));
    }
  }

  private void finish(PieceBatcher batcher, PieceCall call, long now, Map<String, Long> busyUntil) {
    for (PieceOutcome outcome :
        batcher.complete(call.number(), allComputed(call), "self", now).outcomes()) {
      batcher.onReleased(outcome.result().orElseThrow().handle());
      String id = outcome.id().requestId();
      if (missingPieces.merge(id, -1, Integer::sum) == 0
          && now <= arrivalOf(call, id) + TARGET_NANOS) {
        inTime++;
      }
    }
    startCalls(batcher, now, busyUntil);
  }

  private static long arrivalOf(PieceCall call, String id) {
    Piece piece =
        call.pieces().stream().filter(p -> p.id().requestId().equals(id)).findFirst().orElseThrow();
    return piece.startBy() - TARGET_NANOS + millis(300);
  }

  @Test
  void oneBatcherMeetsTheTargetUnderLoadWhereSixMissIt() {
    double oneBatcher = new BatchingLoadTest().shareInTime(1, 30, UrgencyOrder.create());
    double sixBatchers = new BatchingLoadTest().shareInTime(6, 30, UrgencyOrder.create());
    assertTrue(oneBatcher > 0.95, "share in time with one batcher: " + oneBatcher);
    assertTrue(sixBatchers < 0.5, "share in time with six batchers: " + sixBatchers);
  }

  /** The capacity is 0.7 of the offered load, so at most this share of requests can be in time. */
  @Test
  void admissionKeepsRequestsInTimeBeyondCapacity() {
    BatchingLoadTest withAdmission = new BatchingLoadTest();
    withAdmission.admission = true;
    double withAdmissionShare = withAdmission.shareInTime(1, 55, UrgencyOrder.create());
    double urgencyOrderShare = new BatchingLoadTest().shareInTime(1, 55, UrgencyOrder.create());
    double arrivalOrderShare = new BatchingLoadTest().shareInTime(1, 55, ArrivalOrder.create());
    assertTrue(withAdmissionShare > 0.5, "share in time with admission: " + withAdmissionShare);
    assertTrue(
        urgencyOrderShare < withAdmissionShare,
        "share in time in urgency order without admission: " + urgencyOrderShare);
    assertTrue(
        arrivalOrderShare < 0.1,
        "share in time in arrival order without admission: " + arrivalOrderShare);
  }
}
