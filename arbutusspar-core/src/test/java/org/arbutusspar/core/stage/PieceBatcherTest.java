package org.arbutusspar.core.stage;

import static org.arbutusspar.core.stage.Pieces.HERE;
import static org.arbutusspar.core.stage.Pieces.THERE;
import static org.arbutusspar.core.stage.Pieces.allMade;
import static org.arbutusspar.core.stage.Pieces.allRefused;
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

  private static final long ROOMY = 1_000_000;

  private static PieceGatherer gatherer(int batch, long room, int replicas) {
    PieceGatherer gatherer = PieceGatherer.create("s", limits(batch, room), UrgencyOrder.create());
    gatherer.replicas(IntStream.range(0, replicas).mapToObj(i -> replica("r" + i, HERE)).toList());
    return gatherer;
  }

  private static void submit(PieceGatherer gatherer, String request, int pieces) {
    for (int i = 0; i < pieces; i++) {
      gatherer.submit(piece(request, i));
    }
  }

  @Test
  void piecesThatGatherWhileReplicasAreBusyShareCalls() {
    PieceGatherer gatherer = gatherer(8, ROOMY, 1);
    submit(gatherer, "a", 2);
    final PieceCall first = gatherer.nextCalls(0).get(0);
    submit(gatherer, "b", 4);
    submit(gatherer, "c", 4);
    assertTrue(gatherer.nextCalls(millis(10)).isEmpty());
    gatherer.complete(first.number(), allMade(first), "self", millis(260));
    List<PieceCall> next = gatherer.nextCalls(millis(260));
    assertEquals(1, next.size());
    assertEquals(8, next.get(0).pieces().size());
  }

  @Test
  void requestIsNotSplitOverCallsWhereItFitsIntoOne() {
    PieceGatherer gatherer = gatherer(6, ROOMY, 1);
    submit(gatherer, "a", 4);
    submit(gatherer, "b", 4);
    List<PieceCall> calls = gatherer.nextCalls(0);
    assertEquals(4, calls.get(0).pieces().size());
    assertEquals(4, gatherer.waiting());
  }

  @Test
  void groupLargerThanCallsIsSplit() {
    PieceGatherer gatherer = gatherer(3, ROOMY, 1);
    submit(gatherer, "a", 5);
    assertEquals(3, gatherer.nextCalls(0).get(0).pieces().size());
  }

  @Test
  void resultsTakeRoomUntilTheirReplicaHasDroppedThem() {
    PieceGatherer gatherer = gatherer(8, 400, 1);
    submit(gatherer, "a", 4);
    PieceCall first = gatherer.nextCalls(0).get(0);
    submit(gatherer, "b", 4);
    var completion = gatherer.complete(first.number(), allMade(first), "self", millis(300));
    assertTrue(gatherer.nextCalls(millis(300)).isEmpty(), "the room is full");
    completion.outcomes().forEach(o -> gatherer.released(o.result().orElseThrow().handle()));
    assertEquals(4, gatherer.nextCalls(millis(310)).get(0).pieces().size());
  }

  /** Replays tvoet scale-1: a gatherer takes over, and the room is full of another's results. */
  @Test
  void roomThatOthersHaveTakenIsLearnedFromTheReport() {
    PieceGatherer gatherer = gatherer(8, 400, 1);
    gatherer.onFreeRoom("r0", 200, 0);
    submit(gatherer, "a", 2);
    submit(gatherer, "b", 2);
    assertEquals(2, gatherer.nextCalls(0).get(0).pieces().size());
    assertTrue(gatherer.nextCalls(millis(10)).isEmpty());
  }

  /** Replays a herd kill: pieces and results of instances that are gone would take the room. */
  @Test
  void workForAnInstanceThatIsGoneIsDropped() {
    PieceGatherer gatherer = gatherer(2, ROOMY, 1);
    submit(gatherer, "a", 2);
    PieceCall first = gatherer.nextCalls(0).get(0);
    gatherer.complete(first.number(), allMade(first), "self", millis(300));
    submit(gatherer, "b", 2);
    final PieceCall second = gatherer.nextCalls(millis(300)).get(0);
    submit(gatherer, "c", 2);
    String origin = first.pieces().get(0).origin();
    assertEquals(2, gatherer.keptFor(origin).size());
    assertEquals(2, gatherer.cancelOrigin(origin));
    var completion = gatherer.complete(second.number(), allMade(second), "self", millis(600));
    assertEquals(2, completion.unwanted().size());
    assertTrue(gatherer.nextCalls(millis(600)).isEmpty());
  }

  /** Replays tvoet scale-1: rooms are full, replicas idle, and the queue does not get shorter. */
  @Test
  void waitFollowsWhatIsStartedWhereRoomBinds() {
    PieceGatherer gatherer = gatherer(8, 400, 1);
    for (int request = 0; request < 10; request++) {
      submit(gatherer, "q" + request, 4);
    }
    long now = 0;
    for (int round = 0; round < 4; round++) {
      List<PieceCall> calls = gatherer.nextCalls(now);
      long ended = now + millis(280);
      calls.forEach(c -> gatherer.complete(c.number(), allMade(c), "self", ended));
      now += millis(500);
      gatherer.nextCalls(now);
    }
    int wait = gatherer.queueWait(now).millis(true);
    assertTrue(wait > 5_000, "4 pieces in 4 s, 36 wait: " + wait + " ms");
  }

  /** Replays tvoet scale-1: late requests waited for seconds behind others, then were refused. */
  @Test
  void lateRequestsThatWillNotBeReachedAreGivenUpAtOnce() {
    PieceGatherer gatherer = gatherer(4, 400, 1);
    long now = 0;
    int given = 0;
    for (int second = 0; second < 3; second++) {
      for (int i = 0; i < 4; i++) {
        gatherer.submit(piece("late" + second, i, 0, 0, Optional.empty()));
        gatherer.submit(piece("now" + second, i, 0, 60_000, Optional.empty()));
        gatherer.submit(piece("soon" + second, i, 0, 60_000, Optional.empty()));
      }
      for (int step = 1; step <= 2; step++) {
        now += millis(500);
        given += gatherer.expire(now).size();
        long ended = now;
        gatherer
            .nextCalls(now)
            .forEach(
                call ->
                    gatherer
                        .complete(call.number(), allMade(call), "self", ended)
                        .outcomes()
                        .forEach(o -> gatherer.released(o.result().orElseThrow().handle())));
      }
    }
    assertTrue(given >= 4, given + " pieces given up of late requests that are never reached");
    assertTrue(gatherer.queueWait(now).millis(true) > 3_000);
  }

  @Test
  void resultsExpireWhenNobodyReleasesThem() {
    PieceGatherer gatherer = gatherer(8, 400, 1);
    submit(gatherer, "a", 4);
    PieceCall first = gatherer.nextCalls(0).get(0);
    gatherer.complete(first.number(), allMade(first), "self", millis(300));
    submit(gatherer, "b", 4);
    assertTrue(gatherer.nextCalls(millis(4_000)).isEmpty());
    assertEquals(1, gatherer.nextCalls(millis(4_301)).size());
  }

  /** Replays cojulun quiet-1: refusals came back in 4 ms and taught that the replica is fast. */
  @Test
  void refusedCallTeachesNothingAboutTheReplicasSpeed() {
    PieceGatherer gatherer = gatherer(8, ROOMY, 1);
    long now = 0;
    for (int i = 0; i < 20; i++) {
      submit(gatherer, "a" + i, 4);
      PieceCall call = gatherer.nextCalls(now).get(0);
      now += millis(4);
      gatherer.complete(call.number(), allRefused(call, PieceAnswer.NO_ROOM), "self", now);
      assertTrue(gatherer.nextCalls(now).isEmpty(), "the replica rests before the next try");
      gatherer.cancel("a" + i);
      now += millis(2_000);
    }
    submit(gatherer, "z", 4);
    PieceCall call = gatherer.nextCalls(now).get(0);
    assertEquals(millis(280), call.expectedNanos());
  }

  @Test
  void piecesRefusedForLackOfRoomAreNotGivenUp() {
    PieceGatherer gatherer = gatherer(8, ROOMY, 1);
    submit(gatherer, "a", 4);
    long now = 0;
    for (int i = 0; i < 2 * PieceGatherer.MAX_ATTEMPTS; i++) {
      PieceCall call = gatherer.nextCalls(now).get(0);
      var completion =
          gatherer.complete(call.number(), allRefused(call, PieceAnswer.NO_ROOM), "self", now);
      assertTrue(completion.outcomes().isEmpty());
      now += millis(1_100);
    }
    assertEquals(4, gatherer.waiting());
  }

  @Test
  void failedCallIsTriedElsewhereAndGivenUpAfterSome() {
    PieceGatherer gatherer = gatherer(8, ROOMY, 2);
    submit(gatherer, "a", 1);
    Set<String> replicas = new HashSet<>();
    long now = 0;
    for (int i = 1; i <= PieceGatherer.MAX_ATTEMPTS; i++) {
      PieceCall call = gatherer.nextCalls(now).get(0);
      replicas.add(call.replica().id());
      var completion = gatherer.fail(call.number(), false, now);
      assertEquals(i == PieceGatherer.MAX_ATTEMPTS ? 1 : 0, completion.outcomes().size());
      now += millis(i == 1 ? 1 : 3_000);
    }
    assertEquals(2, replicas.size());
  }

  @Test
  void cancelledRequestGetsNoCallAndItsResultsAreUnwanted() {
    PieceGatherer gatherer = gatherer(8, ROOMY, 1);
    submit(gatherer, "a", 2);
    final PieceCall call = gatherer.nextCalls(0).get(0);
    submit(gatherer, "b", 2);
    assertEquals(2, gatherer.cancel("b"));
    gatherer.cancel("a");
    var completion = gatherer.complete(call.number(), allMade(call), "self", millis(260));
    assertTrue(completion.outcomes().isEmpty());
    assertEquals(2, completion.unwanted().size());
    assertTrue(gatherer.nextCalls(millis(260)).isEmpty());
  }

  @Test
  void secondAnswerToOneCallChangesNothing() {
    PieceGatherer gatherer = gatherer(8, ROOMY, 1);
    submit(gatherer, "a", 2);
    PieceCall call = gatherer.nextCalls(0).get(0);
    gatherer.complete(call.number(), allMade(call), "self", millis(260));
    var again = gatherer.complete(call.number(), allMade(call), "self", millis(261));
    assertTrue(again.outcomes().isEmpty());
    assertEquals(0, gatherer.callsInProgress());
  }

  @Test
  void answerForTooFewPiecesIsFailure() {
    PieceGatherer gatherer = gatherer(8, ROOMY, 1);
    submit(gatherer, "a", 2);
    PieceCall call = gatherer.nextCalls(0).get(0);
    var completion =
        gatherer.complete(call.number(), List.of(PieceAnswer.made("x/1")), "self", millis(260));
    assertTrue(completion.outcomes().isEmpty());
    assertEquals(2, gatherer.waiting());
  }

  @Test
  void piecesStayInTheirDataCentreUnlessTheyAreUrgent() {
    PieceGatherer gatherer = PieceGatherer.create("s", limits(8, ROOMY), UrgencyOrder.create());
    gatherer.replicas(List.of(replica("here", HERE), replica("there", THERE)));
    gatherer.submit(piece("a", 0, 0, 2_000, Optional.of(THERE)));
    PieceCall call = gatherer.nextCalls(0).get(0);
    assertEquals("there", call.replica().id());
    gatherer.submit(piece("b", 0, 0, 2_000, Optional.of(THERE)));
    assertTrue(gatherer.nextCalls(millis(10)).isEmpty(), "it waits for the replica there");
    gatherer.submit(piece("c", 0, 0, 200, Optional.of(THERE)));
    PieceCall urgent = gatherer.nextCalls(millis(20)).get(0);
    assertEquals("here", urgent.replica().id());
    assertEquals("c", urgent.pieces().get(0).id().requestId());
  }

  /** Load pattern: one replica of four works five times as long as the others. */
  @Test
  void slowReplicaGetsCallsOnlyWhenManyPiecesWait() {
    PieceGatherer gatherer = gatherer(4, ROOMY, 2);
    long now = 0;
    for (int i = 0; i < 20; i++) {
      submit(gatherer, "a" + i, 4);
      submit(gatherer, "b" + i, 4);
      for (PieceCall call : gatherer.nextCalls(now)) {
        boolean slow = call.replica().id().equals("r0");
        long took = slow ? 5 * call.expectedNanos() : call.expectedNanos();
        gatherer.complete(call.number(), allMade(call), "self", now + took);
      }
      gatherer.cancel("a" + i);
      gatherer.cancel("b" + i);
      now += millis(20_000);
    }
    submit(gatherer, "c", 4);
    assertEquals("r1", gatherer.nextCalls(now).get(0).replica().id());
    submit(gatherer, "d", 4);
    assertTrue(gatherer.nextCalls(now).isEmpty(), "it waits for the fast one");
    submit(gatherer, "e", 4);
    assertEquals("r0", gatherer.nextCalls(now).get(0).replica().id());
  }

  @Test
  void replicasThatLeaveGetNoCalls() {
    PieceGatherer gatherer = gatherer(8, ROOMY, 1);
    gatherer.replicas(List.of());
    submit(gatherer, "a", 2);
    assertTrue(gatherer.nextCalls(0).isEmpty());
  }

  @Test
  void piecesPastTheirDeadlineAreTold() {
    PieceGatherer gatherer = gatherer(8, ROOMY, 0);
    submit(gatherer, "a", 2);
    assertTrue(gatherer.expire(millis(9_999)).isEmpty());
    assertEquals(2, gatherer.expire(millis(10_000)).size());
    assertEquals(0, gatherer.waiting());
  }

  @Test
  void waitsOfRequestsInTimeDoNotCountLateOnes() {
    PieceGatherer gatherer = gatherer(4, ROOMY, 1);
    submit(gatherer, "a", 4);
    gatherer.nextCalls(0);
    for (int i = 0; i < 40; i++) {
      gatherer.submit(piece("late" + i, 0, 0, -1, Optional.empty()));
    }
    QueueWait wait = gatherer.queueWait(0);
    assertTrue(wait.inTimeMillis() < 400, "only the call in progress is ahead: " + wait);
    assertTrue(wait.lateMillis() > 2_000, "forty pieces are ahead: " + wait);
  }
}
