package org.arbutusspar.core.stage;

import static org.arbutusspar.core.stage.Pieces.HERE;
import static org.arbutusspar.core.stage.Pieces.THERE;
import static org.arbutusspar.core.stage.Pieces.allComputed;
import static org.arbutusspar.core.stage.Pieces.allFailed;
import static org.arbutusspar.core.stage.Pieces.limits;
import static org.arbutusspar.core.stage.Pieces.millis;
import static org.arbutusspar.core.stage.Pieces.piece;
import static org.arbutusspar.core.stage.Pieces.replica;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PieceBatcherTest {

  private static final long AMPLE_MEMORY_BYTES = 1_000_000;

  private static PieceBatcher batcher(int maxBatchSize, long resultMemoryBytes, int replicas) {
    PieceBatcher batcher =
        PieceBatcher.create("s", limits(maxBatchSize, resultMemoryBytes), UrgencyOrder.create());
    batcher.replicas(IntStream.range(0, replicas).mapToObj(i -> replica("r" + i, HERE)).toList());
    return batcher;
  }

  private static void submit(PieceBatcher batcher, String requestId, int pieces) {
    for (int i = 0; i < pieces; i++) {
      batcher.submit(piece(requestId, i));
    }
  }

  @Test
  void piecesSubmittedWhileReplicasAreBusyShareOneCall() {
    PieceBatcher batcher = batcher(8, AMPLE_MEMORY_BYTES, 1);
    submit(batcher, "a", 2);
    final PieceCall first = batcher.nextCalls(0).get(0);
    submit(batcher, "b", 4);
    submit(batcher, "c", 4);
    assertTrue(batcher.nextCalls(millis(10)).isEmpty());
    batcher.complete(first.number(), allComputed(first), "self", millis(260));
    List<PieceCall> next = batcher.nextCalls(millis(260));
    assertEquals(1, next.size());
    assertEquals(8, next.get(0).pieces().size());
  }

  @Test
  void stageIsNotSplitIfItFitsIntoOneCall() {
    PieceBatcher batcher = batcher(6, AMPLE_MEMORY_BYTES, 1);
    submit(batcher, "a", 4);
    submit(batcher, "b", 4);
    List<PieceCall> calls = batcher.nextCalls(0);
    assertEquals(4, calls.get(0).pieces().size());
    assertEquals(4, batcher.waiting());
  }

  @Test
  void stageLargerThanOneCallIsSplit() {
    PieceBatcher batcher = batcher(3, AMPLE_MEMORY_BYTES, 1);
    submit(batcher, "a", 5);
    assertEquals(3, batcher.nextCalls(0).get(0).pieces().size());
  }

  @Test
  void resultsUseMemoryUntilTheyAreReleased() {
    PieceBatcher batcher = batcher(8, 400, 1);
    submit(batcher, "a", 4);
    PieceCall first = batcher.nextCalls(0).get(0);
    submit(batcher, "b", 4);
    var completion = batcher.complete(first.number(), allComputed(first), "self", millis(300));
    assertTrue(batcher.nextCalls(millis(300)).isEmpty(), "the result memory is full");
    completion.outcomes().forEach(o -> batcher.onReleased(o.result().orElseThrow().handle()));
    assertEquals(4, batcher.nextCalls(millis(310)).get(0).pieces().size());
  }

  /**
   * Guards against calls whose results do not fit: after a new batcher has taken over, the memory
   * of the replicas is full of results of the previous one, for which it does not account.
   */
  @Test
  void memoryUsedByOtherBatchersIsTakenFromTheReplicasReport() {
    PieceBatcher batcher = batcher(8, 400, 1);
    batcher.onFreeMemory("r0", 200, 0);
    submit(batcher, "a", 2);
    submit(batcher, "b", 2);
    assertEquals(2, batcher.nextCalls(0).get(0).pieces().size());
    assertTrue(batcher.nextCalls(millis(10)).isEmpty());
  }

  /**
   * Guards against wasted calls and memory when instances are killed: nobody would read the results
   * of their pieces or release them.
   */
  @Test
  void piecesAndResultsOfRemovedInstanceAreDropped() {
    PieceBatcher batcher = batcher(2, AMPLE_MEMORY_BYTES, 1);
    submit(batcher, "a", 2);
    PieceCall first = batcher.nextCalls(0).get(0);
    batcher.complete(first.number(), allComputed(first), "self", millis(300));
    submit(batcher, "b", 2);
    final PieceCall second = batcher.nextCalls(millis(300)).get(0);
    submit(batcher, "c", 2);
    String origin = first.pieces().get(0).origin();
    assertEquals(2, batcher.storedFor(origin).size());
    assertEquals(2, batcher.cancelOrigin(origin));
    var completion = batcher.complete(second.number(), allComputed(second), "self", millis(600));
    assertEquals(2, completion.toRelease().size());
    assertTrue(batcher.nextCalls(millis(600)).isEmpty());
  }

  /**
   * Guards against wait estimates that are far too short when result memory is full: replicas are
   * idle then, and the queue gets shorter more slowly than call times suggest.
   */
  @Test
  void queueWaitFollowsTheStartRateWhenMemoryIsTheLimit() {
    PieceBatcher batcher = batcher(8, 400, 1);
    for (int i = 0; i < 10; i++) {
      submit(batcher, "q" + i, 4);
    }
    long now = 0;
    for (int round = 0; round < 4; round++) {
      List<PieceCall> calls = batcher.nextCalls(now);
      long ended = now + millis(280);
      calls.forEach(c -> batcher.complete(c.number(), allComputed(c), "self", ended));
      now += millis(500);
      batcher.nextCalls(now);
    }
    int wait = batcher.queueWait(now).millis(true);
    assertTrue(wait > 5_000, "4 pieces started in 4 s, 36 queued: " + wait + " ms");
  }

  /**
   * Guards against late pieces that wait for seconds behind pieces in time, only to be dropped at
   * their deadline.
   */
  @Test
  void infeasibleLatePiecesAreDroppedEarly() {
    PieceBatcher batcher = batcher(4, 400, 1);
    long now = 0;
    int dropped = 0;
    for (int second = 0; second < 3; second++) {
      for (int i = 0; i < 4; i++) {
        batcher.submit(piece("late" + second, i, 0, 0, Optional.empty()));
        batcher.submit(piece("now" + second, i, 0, 60_000, Optional.empty()));
        batcher.submit(piece("soon" + second, i, 0, 60_000, Optional.empty()));
      }
      for (int step = 1; step <= 2; step++) {
        now += millis(500);
        dropped += batcher.expire(now).size();
        long ended = now;
        batcher
            .nextCalls(now)
            .forEach(
                call ->
                    batcher
                        .complete(call.number(), allComputed(call), "self", ended)
                        .outcomes()
                        .forEach(o -> batcher.onReleased(o.result().orElseThrow().handle())));
      }
    }
    assertTrue(dropped >= 4, dropped + " infeasible late pieces dropped");
    assertTrue(batcher.queueWait(now).millis(true) > 3_000);
  }

  @Test
  void unreleasedResultsExpire() {
    PieceBatcher batcher = batcher(8, 400, 1);
    submit(batcher, "a", 4);
    PieceCall first = batcher.nextCalls(0).get(0);
    batcher.complete(first.number(), allComputed(first), "self", millis(300));
    submit(batcher, "b", 4);
    assertTrue(batcher.nextCalls(millis(4_000)).isEmpty());
    assertEquals(1, batcher.nextCalls(millis(4_301)).size());
  }

  /**
   * Guards against a wrong expected call time: a call rejected for lack of memory ends in a few
   * milliseconds and must not make the replica count as fast.
   */
  @Test
  void rejectedCallDoesNotChangeTheExpectedCallTime() {
    PieceBatcher batcher = batcher(8, AMPLE_MEMORY_BYTES, 1);
    long now = 0;
    for (int i = 0; i < 20; i++) {
      submit(batcher, "a" + i, 4);
      PieceCall call = batcher.nextCalls(now).get(0);
      now += millis(4);
      batcher.complete(call.number(), allFailed(call, PieceResponse.NO_MEMORY), "self", now);
      assertTrue(batcher.nextCalls(now).isEmpty(), "the replica is cooling down");
      batcher.cancel("a" + i);
      now += millis(2_000);
    }
    submit(batcher, "z", 4);
    PieceCall call = batcher.nextCalls(now).get(0);
    assertEquals(millis(280), call.expectedNanos());
  }

  @Test
  void piecesRejectedForLackOfMemoryAreNotDropped() {
    PieceBatcher batcher = batcher(8, AMPLE_MEMORY_BYTES, 1);
    submit(batcher, "a", 4);
    long now = 0;
    for (int i = 0; i < 2 * PieceBatcher.MAX_ATTEMPTS; i++) {
      PieceCall call = batcher.nextCalls(now).get(0);
      var completion =
          batcher.complete(call.number(), allFailed(call, PieceResponse.NO_MEMORY), "self", now);
      assertTrue(completion.outcomes().isEmpty());
      now += millis(1_100);
    }
    assertEquals(4, batcher.waiting());
  }

  @Test
  void piecesOfFailedCallAreRetriedElsewhereUpToTheAttemptLimit() {
    PieceBatcher batcher = batcher(8, AMPLE_MEMORY_BYTES, 2);
    submit(batcher, "a", 1);
    Set<String> replicas = new HashSet<>();
    long now = 0;
    for (int i = 1; i <= PieceBatcher.MAX_ATTEMPTS; i++) {
      PieceCall call = batcher.nextCalls(now).get(0);
      replicas.add(call.replica().id());
      var completion = batcher.fail(call.number(), false, now);
      assertEquals(i == PieceBatcher.MAX_ATTEMPTS ? 1 : 0, completion.outcomes().size());
      now += millis(i == 1 ? 1 : 3_000);
    }
    assertEquals(2, replicas.size());
  }

  @Test
  void cancelledRequestGetsNoCallAndItsResultsAreReleased() {
    PieceBatcher batcher = batcher(8, AMPLE_MEMORY_BYTES, 1);
    submit(batcher, "a", 2);
    final PieceCall call = batcher.nextCalls(0).get(0);
    submit(batcher, "b", 2);
    assertEquals(2, batcher.cancel("b"));
    batcher.cancel("a");
    var completion = batcher.complete(call.number(), allComputed(call), "self", millis(260));
    assertTrue(completion.outcomes().isEmpty());
    assertEquals(2, completion.toRelease().size());
    assertTrue(batcher.nextCalls(millis(260)).isEmpty());
  }

  @Test
  void duplicateResponseToCallIsIgnored() {
    PieceBatcher batcher = batcher(8, AMPLE_MEMORY_BYTES, 1);
    submit(batcher, "a", 2);
    PieceCall call = batcher.nextCalls(0).get(0);
    batcher.complete(call.number(), allComputed(call), "self", millis(260));
    var second = batcher.complete(call.number(), allComputed(call), "self", millis(261));
    assertTrue(second.outcomes().isEmpty());
    assertEquals(0, batcher.callsInProgress());
  }

  @Test
  void responseWithTooFewPiecesFailsTheCall() {
    PieceBatcher batcher = batcher(8, AMPLE_MEMORY_BYTES, 1);
    submit(batcher, "a", 2);
    PieceCall call = batcher.nextCalls(0).get(0);
    var completion =
        batcher.complete(
            call.number(), List.of(PieceResponse.computed("x/1")), "self", millis(260));
    assertTrue(completion.outcomes().isEmpty());
    assertEquals(2, batcher.waiting());
  }

  @Test
  void onlyUrgentPiecesLeaveTheirPreferredDataCentre() {
    PieceBatcher batcher =
        PieceBatcher.create("s", limits(8, AMPLE_MEMORY_BYTES), UrgencyOrder.create());
    batcher.replicas(List.of(replica("here", HERE), replica("there", THERE)));
    batcher.submit(piece("a", 0, 0, 2_000, Optional.of(THERE)));
    PieceCall call = batcher.nextCalls(0).get(0);
    assertEquals("there", call.replica().id());
    batcher.submit(piece("b", 0, 0, 2_000, Optional.of(THERE)));
    assertTrue(
        batcher.nextCalls(millis(10)).isEmpty(),
        "the piece waits for the replica in its preferred data centre");
    batcher.submit(piece("c", 0, 0, 200, Optional.of(THERE)));
    PieceCall urgent = batcher.nextCalls(millis(20)).get(0);
    assertEquals("here", urgent.replica().id());
    assertEquals("c", urgent.pieces().get(0).id().requestId());
  }

  /** One of two replicas takes five times as long as the other for each call. */
  @Test
  void slowReplicaGetsCallsOnlyDuringBacklog() {
    PieceBatcher batcher = batcher(4, AMPLE_MEMORY_BYTES, 2);
    long now = 0;
    for (int i = 0; i < 20; i++) {
      submit(batcher, "a" + i, 4);
      submit(batcher, "b" + i, 4);
      for (PieceCall call : batcher.nextCalls(now)) {
        boolean slow = call.replica().id().equals("r0");
        long took = slow ? 5 * call.expectedNanos() : call.expectedNanos();
        batcher.complete(call.number(), allComputed(call), "self", now + took);
      }
      batcher.cancel("a" + i);
      batcher.cancel("b" + i);
      now += millis(20_000);
    }
    submit(batcher, "c", 4);
    assertEquals("r1", batcher.nextCalls(now).get(0).replica().id());
    submit(batcher, "d", 4);
    assertTrue(batcher.nextCalls(now).isEmpty(), "the pieces wait for the fast replica");
    submit(batcher, "e", 4);
    assertEquals("r0", batcher.nextCalls(now).get(0).replica().id());
  }

  /** Pieces waited for a fast replica until their deadline, although it wanted no requests. */
  @Test
  void slowReplicaGetsCallsWhileTheFasterOneBacksOff() {
    PieceBatcher batcher = batcher(4, AMPLE_MEMORY_BYTES, 2);
    long now = 0;
    for (int i = 0; i < 20; i++) {
      submit(batcher, "a" + i, 4);
      submit(batcher, "b" + i, 4);
      for (PieceCall call : batcher.nextCalls(now)) {
        boolean slow = call.replica().id().equals("r0");
        long took = slow ? 5 * call.expectedNanos() : call.expectedNanos();
        batcher.complete(call.number(), allComputed(call), "self", now + took);
      }
      batcher.cancel("a" + i);
      batcher.cancel("b" + i);
      now += millis(20_000);
    }
    batcher.backOff("r1", 5_000, now);
    submit(batcher, "c", 4);
    assertEquals("r0", batcher.nextCalls(now).get(0).replica().id());
    submit(batcher, "d", 4);
    assertTrue(batcher.nextCalls(now + millis(4_900)).isEmpty());
    assertTrue(batcher.queueWait(now).millis(true) > 0);
    assertEquals("r1", batcher.nextCalls(now + millis(5_000)).get(0).replica().id());
  }

  @Test
  void removedReplicasGetNoCalls() {
    PieceBatcher batcher = batcher(8, AMPLE_MEMORY_BYTES, 1);
    batcher.replicas(List.of());
    submit(batcher, "a", 2);
    assertTrue(batcher.nextCalls(0).isEmpty());
  }

  @Test
  void piecesPastTheirDeadlineAreReturned() {
    PieceBatcher batcher = batcher(8, AMPLE_MEMORY_BYTES, 0);
    submit(batcher, "a", 2);
    assertTrue(batcher.expire(millis(9_999)).isEmpty());
    assertEquals(2, batcher.expire(millis(10_000)).size());
    assertEquals(0, batcher.waiting());
  }

  @Test
  void queueWaitOfPiecesInTimeExcludesLatePieces() {
    PieceBatcher batcher = batcher(4, AMPLE_MEMORY_BYTES, 1);
    submit(batcher, "a", 4);
    batcher.nextCalls(0);
    for (int i = 0; i < 40; i++) {
      batcher.submit(piece("late" + i, 0, 0, -1, Optional.empty()));
    }
    QueueWait wait = batcher.queueWait(0);
    assertTrue(wait.inTimeMillis() < 400, "only the call in progress counts: " + wait);
    assertTrue(wait.lateMillis() > 2_000, "forty queued late pieces count: " + wait);
  }
}
