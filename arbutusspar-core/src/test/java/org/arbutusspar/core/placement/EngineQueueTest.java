package org.arbutusspar.core.placement;

import static org.arbutusspar.core.placement.EngineQueueReplay.CHECK;
import static org.arbutusspar.core.placement.EngineQueueReplay.REVIEW;
import static org.arbutusspar.core.placement.EngineQueueReplay.SUMMARY;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class EngineQueueTest {

  private static final long MEMORY_TOKENS = 560_000;
  private static final Map<EngineQueueReplay.Kind, Double> ALL_KINDS =
      Map.of(REVIEW, 3.0, SUMMARY, 3.0, CHECK, 3.0);

  private static EngineQueue queue(long memoryTokens) {
    return EngineQueue.create(
        EnginePlacer.create(
            SendPermits.UNLIMITED,
            ReplicaPace.NONE,
            ReplicaSpeeds.EQUAL,
            EngineRoom.ofMemory(() -> memoryTokens)));
  }

  private static EngineQueue queue(int replicas, int slots, long memoryTokens) {
    EngineQueue queue = queue(memoryTokens);
    List<UpstreamReplica> listed = new ArrayList<>();
    for (int i = 1; i <= replicas; i++) {
      Endpoint endpoint = new Endpoint("10.0.0." + i, 80);
      listed.add(new UpstreamReplica("r" + i, "s", endpoint, DataCentre.of("a"), slots, false, 0));
    }
    queue.replicas(listed);
    return queue;
  }

  private static EngineDemand demand(int rank, long targetMillis) {
    return new EngineDemand(
        "k" + rank, "w", rank, 100, millis(targetMillis), millis(12_000), false, false);
  }

  private static EnginePlacer.EngineRequest request(String id, long tokens, EngineDemand demand) {
    return new EnginePlacer.EngineRequest(
        id,
        "e-1",
        List.of(),
        0,
        0,
        tokens,
        Optional.empty(),
        0,
        List.of(),
        true,
        Optional.of(demand));
  }

  private static long millis(long millis) {
    return Nanos.ofMillis(millis);
  }

  private static EngineDecision.State ask(
      EngineQueue queue, String id, long tokens, EngineDemand demand, long now) {
    return queue.ask(request(id, tokens, demand), now).state();
  }

  /** Returns the identifiers of the requests that are settled now, with the reasons. */
  private static List<String> settle(EngineQueue queue, long now) {
    return queue.settle(now).stream().map(s -> s.request().id() + " " + s.reason()).toList();
  }

  private static Stream<Arguments> bursts() {
    return Stream.of(Map.of(REVIEW, 4.0), Map.of(SUMMARY, 4.0), Map.of(CHECK, 20.0), ALL_KINDS)
        .flatMap(burst -> Stream.of(Arguments.of(burst, false), Arguments.of(burst, true)));
  }

  /**
   * Bursts of each kind alone and of all kinds, with clients that return when instructed or at
   * once, against the placer without a queue.
   */
  @ParameterizedTest
  @MethodSource("bursts")
  void urgentKindsAreServedInTimeAndNoGroupStarves(
      Map<EngineQueueReplay.Kind, Double> burst, boolean returnAtOnce) {
    EngineQueueReplay baseline = EngineQueueReplay.run(EnginePlacer.create(), burst, returnAtOnce);
    EngineQueueReplay queued = EngineQueueReplay.run(queue(MEMORY_TOKENS), burst, returnAtOnce);
    String figures = "without a queue:\n" + baseline + "with it:\n" + queued;

    EngineQueueReplay.Tally urgent = queued.tally("review");
    assertTrue(urgent.inTimeShare() > baseline.tally("review").inTimeShare(), figures);
    assertTrue(urgent.served() >= queued.tally("check").served() - 0.05, figures);
    assertTrue(queued.worthInTime() > baseline.worthInTime(), figures);
    double mean = queued.tally("all").served();
    Stream.of("review", "summary", "check", "w0", "w1", "w2", "w3", "w4")
        .forEach(group -> assertTrue(queued.tally(group).served() >= 0.5 * mean, figures));
    for (EngineQueueReplay.Kind kind : EngineQueueReplay.KINDS) {
      double ofKind = queued.tally(kind.name()).served();
      Stream.of("/largest", "/large")
          .map(band -> queued.tally(kind.name() + band).served())
          .forEach(served -> assertTrue(served >= 0.5 * ofKind, figures));
    }
  }

  /** Rejections while all kinds burst come early, so that clients can use their time elsewhere. */
  @Test
  void rejectedRequestsAreNotHeldForLong() {
    EngineQueueReplay queued = EngineQueueReplay.run(queue(MEMORY_TOKENS), ALL_KINDS, false);
    for (EngineQueueReplay.Kind kind : EngineQueueReplay.KINDS) {
      double heldShare = queued.tally(kind.name()).meanHeldMillis() / kind.deadlineMillis();
      assertTrue(heldShare < 0.25, kind.name() + " held for " + heldShare + " of its time");
    }
  }

  @Test
  void forecastWaitsAreOfTheSizeOfTrueOnes() {
    EngineQueueReplay queued = EngineQueueReplay.run(queue(MEMORY_TOKENS), ALL_KINDS, false);
    double forecast = queued.forecasts().stream().mapToLong(f -> f[0]).average().orElseThrow();
    double waited = queued.forecasts().stream().mapToLong(f -> f[1]).average().orElseThrow();
    assertTrue(forecast > waited / 3 && forecast < waited * 3, forecast + " ms, " + waited + " ms");
  }

  @Test
  void roomGoesToTheMostUrgentRequestThatWaits() {
    EngineQueue queue = queue(1, 2, MEMORY_TOKENS);
    ask(queue, "a", 10, demand(2, 5_000), 0);
    ask(queue, "b", 10, demand(2, 5_000), 0);
    assertEquals(EngineDecision.State.WAITING, ask(queue, "low", 10, demand(2, 5_000), millis(1)));
    assertEquals(EngineDecision.State.WAITING, ask(queue, "late", 10, demand(0, 4_900), millis(2)));
    assertEquals(EngineDecision.State.WAITING, ask(queue, "soon", 10, demand(0, 3_000), millis(3)));
    assertEquals(List.of(), settle(queue, millis(4)));
    queue.onEnded("a", true, millis(10));
    assertEquals(List.of("soon ROOM"), settle(queue, millis(10)));
    queue.onEnded("b", true, millis(11));
    assertEquals(List.of("late ROOM"), settle(queue, millis(11)));
  }

  @Test
  void requestThatCannotBeInTimeIsRejectedWithTheTimeOfRoom() {
    EngineQueue queue = queue(1, 1, MEMORY_TOKENS);
    ask(queue, "a", 10, demand(0, 1_000), 0);
    for (int i = 0; i < 3; i++) {
      ask(queue, "w" + i, 10, demand(0, 4_500), 0);
    }
    EngineDecision decision = queue.ask(request("x", 10, demand(1, 3_500)), 0);
    assertEquals(EngineDecision.State.REJECTED, decision.state());
    assertTrue(decision.millis() >= 3_000, decision.toString());
  }

  @Test
  void requestThatCanNoLongerBeInTimeGivesWayButNotOneThatMayHaveRun() {
    EngineQueue queue = queue(1, 1, MEMORY_TOKENS);
    ask(queue, "a", 10, demand(0, 1_000), 0);
    EngineDemand mayHaveRun =
        new EngineDemand("k", "w", 0, 100, millis(1_500), millis(9_000), false, true);
    ask(queue, "ran", 10, mayHaveRun, 0);
    ask(queue, "old", 10, demand(0, 2_500), 0);
    for (long now = 200; now <= 2_400; now += 200) {
      ask(queue, "ran", 10, mayHaveRun, millis(now));
      ask(queue, "old", 10, demand(0, 2_500), millis(now));
    }
    ask(queue, "new", 10, demand(1, 9_000), millis(2_450));
    assertEquals(List.of("old GAVE_WAY"), settle(queue, millis(2_600)));
    queue.onEnded("a", true, millis(2_600));
    assertEquals(List.of("new ROOM"), settle(queue, millis(2_600)));
    queue.onEnded("new", true, millis(2_700));
    assertEquals(List.of("ran ROOM"), settle(queue, millis(2_700)));
  }

  @Test
  void engineIsNotFilledBeyondItsMemory() {
    EngineQueue queue = queue(1, 32, 10_000);
    assertEquals(EngineDecision.State.PLACED, ask(queue, "a", 5_000, demand(0, 4_000), 0));
    queue.onResponseStarted("a", 0);
    assertEquals(EngineDecision.State.WAITING, ask(queue, "b", 5_000, demand(0, 4_000), 0));
    assertEquals(EngineDecision.State.REJECTED, ask(queue, "c", 11_000, demand(0, 4_000), 0));
    queue.onEnded("a", true, millis(5));
    assertEquals(List.of("b ROOM"), settle(queue, millis(5)));
  }

  /** Small requests that fit would keep the memory of all engines too full for a large one. */
  @Test
  void largeRequestIsNotOvertakenForEverBySmallOnes() {
    EngineQueue queue = queue(2, 32, 10_000);
    for (int i = 0; i < 8; i++) {
      ask(queue, "s" + i, 2_000, demand(0, 60_000), 0);
      queue.onResponseStarted("s" + i, 0);
    }
    assertEquals(EngineDecision.State.WAITING, ask(queue, "large", 8_000, demand(0, 50_000), 0));
    for (int round = 0; queue.waiting() > 0; round++) {
      assertTrue(round < 16, "the large request starves");
      long now = millis(100 * (round + 1));
      queue.onEnded("s" + round, true, now);
      ask(queue, "large", 8_000, demand(0, 50_000), now);
      String next = "s" + (round + 8);
      if (ask(queue, next, 2_000, demand(0, 60_000), now) == EngineDecision.State.PLACED) {
        queue.onResponseStarted(next, now);
      } else {
        queue.onEnded(next, true, now);
      }
      settle(queue, now);
    }
  }

  @Test
  void requestThatAsksAgainKeepsItsPlaceAndIsCountedOnce() {
    EngineQueue queue = queue(2, 4, MEMORY_TOKENS);
    EnginePlacer.EngineRequest request = request("a", 10, demand(0, 4_000));
    EngineDecision first = queue.ask(request, 0);
    assertEquals(first, queue.ask(request, millis(200)));
    queue.onEnded("a", true, millis(300));
    for (int i = 0; i < 8; i++) {
      assertEquals(
          EngineDecision.State.PLACED, ask(queue, "b" + i, 10, demand(0, 4_000), millis(300)));
    }
  }

  @Test
  void requestThatExcludesItsReplicaGivesItsPlaceBackWhileItWaits() {
    EngineQueue queue = queue(2, 1, MEMORY_TOKENS);
    EnginePlacer.EngineRequest request = request("a", 10, demand(0, 4_000));
    String first = queue.ask(request, 0).replica().orElseThrow().id();
    ask(queue, "b", 10, demand(0, 4_000), 0);
    assertEquals(
        EngineDecision.State.WAITING, queue.ask(request.withExcluded(List.of(first)), 0).state());
    assertEquals(EngineDecision.State.PLACED, ask(queue, "c", 10, demand(0, 4_000), 0));
  }

  @Test
  void requestForWhichNobodyAsksAnyMoreIsDropped() {
    EngineQueue queue = queue(1, 1, MEMORY_TOKENS);
    ask(queue, "a", 10, demand(0, 9_000), 0);
    ask(queue, "b", 10, demand(0, 9_000), 0);
    ask(queue, "c", 10, demand(0, 9_000), 0);
    queue.onEnded("c", true, millis(500));
    queue.onEnded("a", true, millis(1_100));
    assertEquals(List.of(), settle(queue, millis(1_100)));
    assertEquals(0, queue.waiting());
  }

  /** A placer that has just taken the role does not know the requests that run already. */
  @Test
  void statedLoadOfRequestsFromOthersFillsSlots() {
    EngineQueue queue = queue(1, 4, MEMORY_TOKENS);
    ask(queue, "a", 10, demand(0, 4_000), 0);
    queue.onStatedLoad("a", 4, 0);
    queue.onResponseStarted("a", 0);
    assertEquals(EngineDecision.State.WAITING, ask(queue, "b", 10, demand(0, 4_000), millis(1)));
    ask(queue, "b", 10, demand(0, 4_000), millis(900));
    queue.onStatedLoad("a", 2, millis(1_000));
    assertFalse(settle(queue, millis(1_000)).isEmpty());
  }

  /** Operators evacuate all data centres while requests wait. */
  @Test
  void waitingRequestsAreRejectedIfNoReplicaIsLeft() {
    EngineQueue queue = queue(1, 1, MEMORY_TOKENS);
    assertEquals(EngineDecision.State.PLACED, ask(queue, "first", 100, demand(1, 1_000), 0));
    assertEquals(EngineDecision.State.WAITING, ask(queue, "second", 100, demand(1, 9_000), 0));
    queue.replicas(List.of());
    assertEquals(List.of("second NO_REPLICA"), settle(queue, millis(300)));
    assertEquals(
        EngineDecision.State.REJECTED, ask(queue, "third", 100, demand(1, 9_000), millis(300)));
  }
}
