package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.junit.jupiter.api.Test;

class LearnedReplicaPaceTest {

  private static final long SECOND = Nanos.ofMillis(1_000);

  private final List<String> changes = new ArrayList<>();
  private final LearnedReplicaPace pace =
      LearnedReplicaPace.create(
          service -> !service.equals("other"),
          (replica, change, limit) -> changes.add(replica.id() + " " + change + " " + limit));

  private static UpstreamReplica replica(int number, String service, long startedAt) {
    return new UpstreamReplica(
        "r" + number,
        service,
        new Endpoint("10.0.0." + number, 80),
        DataCentre.of("d"),
        32,
        false,
        startedAt);
  }

  private static UpstreamReplica replica(int number) {
    return replica(number, "s", 0);
  }

  /** Replays the same load without a pace and with one. */
  private static List<StartReplay> replays(UnaryOperator<StartReplay> load) {
    LearnedReplicaPace learned = LearnedReplicaPace.create(s -> true, (r, change, limit) -> {});
    List<StartReplay> replays =
        List.of(
            load.apply(new StartReplay(Optional.empty())),
            load.apply(new StartReplay(Optional.of(learned))));
    return replays;
  }

  private static StartReplay requests(StartReplay replay, int engines) {
    return replay.engines(engines).requests(70, 0, 20_000);
  }

  @Test
  void replicaThatJoinsUnderLoadCarriesItsShareWithinTwoSeconds() {
    List<StartReplay> replays = replays(replay -> requests(replay, 9).join(5_000).run(7_000));
    assertTrue(replays.get(1).share(10) > 0.7, replays.get(1).share(10) + " of the mean");
    assertEquals(0, replays.get(1).late());
    assertEquals(0, replays.get(1).rejected());
  }

  @Test
  void replicaThatReturnsAfterCrashIsNotLeftIdle() {
    List<StartReplay> replays =
        replays(
            replay -> requests(replay, 10).crash(1, 5_000).restart(1, 7_200, true, 1).run(9_500));
    assertEquals(0, replays.get(0).share(1));
    assertTrue(replays.get(1).share(1) > 0.7, replays.get(1).share(1) + " of the mean");
    assertEquals(replays.get(0).broken(), replays.get(1).broken());
    assertEquals(0, replays.get(1).lost());
    assertTrue(replays.get(1).repeated() <= 3, replays.get(1).toString());
  }

  @Test
  void replicaThatComesBackSlowGetsFewRequests() {
    List<StartReplay> replays =
        replays(
            replay -> requests(replay, 10).crash(1, 5_000).restart(1, 8_000, false, 8).run(20_000));
    assertTrue(replays.get(1).late() <= 2, replays.toString());
    assertTrue(replays.get(0).late() >= 3 * replays.get(1).late(), replays.toString());
    assertEquals(0, replays.get(1).lost());
  }

  @Test
  void replicaThatFlapsBreaksOffFewerRequests() {
    List<StartReplay> replays =
        replays(
            replay -> {
              requests(replay, 10);
              for (long at = 5_000; at < 18_000; at += 2_800) {
                replay.crash(1, at).restart(1, at + 1_400, false, 1);
              }
              return replay.run(20_000);
            });
    assertTrue(replays.get(1).broken() < 0.8 * replays.get(0).broken(), replays.toString());
    assertEquals(0, replays.get(1).lost());
    assertEquals(0, replays.get(1).rejected());
  }

  @Test
  void dataCentreThatComesBackCarriesItsShareWithinTwoSeconds() {
    List<StartReplay> replays =
        replays(
            replay -> {
              requests(replay, 9);
              for (int number = 3; number <= 9; number += 3) {
                replay.crash(number, 5_000).restart(number, 8_000, false, 1);
              }
              return replay.run(10_000);
            });
    for (int number = 3; number <= 9; number += 3) {
      assertTrue(replays.get(1).share(number) > 0.7, replays.get(1).share(number) + " of the mean");
    }
    assertEquals(0, replays.get(1).late());
    assertEquals(0, replays.get(1).lost());
    assertEquals(0, replays.get(1).rejected());
  }

  /** Guards against rejections by the pace: there are more requests than all limits permit. */
  @Test
  void replicasThatAreAllNewServeWhatTheyServeWithoutPace() {
    List<StartReplay> replays =
        replays(
            replay -> {
              replay.engines(9).requests(70, 0, 5_000).requests(140, 8_000, 12_000);
              for (int number = 1; number <= 9; number++) {
                replay.crash(number, 5_000).restart(number, 7_000, false, 1);
              }
              return replay.run(20_000);
            });
    assertEquals(replays.get(0).rejected(), replays.get(1).rejected());
    assertTrue(replays.get(1).late() <= replays.get(0).late(), replays.toString());
  }

  @Test
  void replicasOfTheFirstListAreNotPaced() {
    pace.onListed(List.of(replica(1)), 0);
    pace.onListed(List.of(replica(1), replica(2)), SECOND);
    assertEquals(ReplicaPace.UNLIMITED, pace.limit(replica(1), SECOND));
    assertEquals(ReplicaPace.UNLIMITED, pace.limit(replica(2), SECOND));
  }

  @Test
  void limitDoublesWithResponsesInTimeUntilTheSlotsAreReached() {
    start(1, 10 * SECOND);
    assertEquals(2, pace.limit(replica(1), 10 * SECOND));
    pace.onChosen(replica(1), 10 * SECOND);
    respond(1, 2, 20, 10 * SECOND);
    assertEquals(4, pace.limit(replica(1), 10 * SECOND));
    assertEquals(Map.of("s", 1), pace.countByService(10 * SECOND));
    respond(1, 28, 20, 10 * SECOND);
    assertEquals(ReplicaPace.UNLIMITED, pace.limit(replica(1), 10 * SECOND));
    assertEquals(List.of("r1 BEGUN 2", "r1 ESTABLISHED 32"), changes);
    assertEquals(Map.of(), pace.countByService(10 * SECOND));
  }

  @Test
  void slowResponsesHalveTheLimitOnceForTheRequestsInFlight() {
    start(1, 10 * SECOND);
    respond(9, 10, 20, 10 * SECOND);
    respond(1, 14, 20, 10 * SECOND);
    respond(1, 3, 80, 11 * SECOND);
    assertEquals(8, pace.limit(replica(1), 11 * SECOND));
    respond(1, 1, 80, 12 * SECOND);
    assertEquals(4, pace.limit(replica(1), 12 * SECOND));
  }

  @Test
  void replicaThatGetsNoRequestsIsPacedForTenSeconds() {
    start(1, 10 * SECOND);
    assertEquals(2, pace.limit(replica(1), 20 * SECOND - 1));
    assertEquals(ReplicaPace.UNLIMITED, pace.limit(replica(1), 20 * SECOND));
  }

  @Test
  void failedReplicaIsTestedUntilItResponds() {
    start(1, 10 * SECOND);
    assertTrue(pace.onFailure(replica(9), 10 * SECOND, 10 * SECOND));
    assertTrue(pace.onFailure(replica(9), 9 * SECOND, 10 * SECOND));
    assertTrue(pace.isDoubtful(replica(9), 10 * SECOND));
    assertEquals(0, pace.maxLimit(replica(9), 10 * SECOND));
    assertEquals(1, pace.maxLimit(replica(9), 10 * SECOND + Nanos.ofMillis(300)));
    assertTrue(pace.onFailure(replica(9), 10 * SECOND, 11 * SECOND));
    assertEquals(0, pace.maxLimit(replica(9), 11 * SECOND + Nanos.ofMillis(599)));
    assertEquals(1, pace.maxLimit(replica(9), 11 * SECOND + Nanos.ofMillis(600)));
    respond(9, 1, 20, 12 * SECOND);
    assertFalse(pace.isDoubtful(replica(9), 12 * SECOND));
    assertEquals(5, pace.limit(replica(9), 12 * SECOND));
    assertEquals(ReplicaPace.UNLIMITED, pace.maxLimit(replica(9), 12 * SECOND));
  }

  /** Guards against probing: two of five replicas fail for long while the others are sound. */
  @Test
  void testsAreOneOfTenRequestsOfTheService() {
    List<UpstreamReplica> listed =
        List.of(replica(1), replica(2), replica(3), replica(4), replica(5));
    pace.onListed(listed, 0);
    pace.onFailure(replica(1), 0, SECOND);
    pace.onFailure(replica(2), 0, SECOND);
    int tests = 0;
    for (int i = 0; i < 1_000; i++) {
      long now = 2 * SECOND + i * Nanos.ofMillis(10);
      UpstreamReplica chosen =
          listed.stream().filter(each -> pace.maxLimit(each, now) > 0).findFirst().orElseThrow();
      pace.onChosen(chosen, now);
      if (pace.isDoubtful(chosen, now)) {
        tests++;
        pace.onFailure(chosen, now, now);
      }
    }
    assertTrue(tests >= 10 && tests <= 20, tests + " tests in ten seconds");
  }

  @Test
  void failuresOfMostReplicasLimitNothing() {
    pace.onListed(List.of(replica(1), replica(2), replica(3)), 0);
    pace.onFailure(replica(1), 0, SECOND);
    assertEquals(0, pace.maxLimit(replica(1), SECOND));
    pace.onFailure(replica(2), 0, SECOND);
    assertEquals(ReplicaPace.UNLIMITED, pace.maxLimit(replica(1), SECOND));
    assertEquals(0, pace.limit(replica(1), SECOND));
    assertTrue(pace.isDoubtful(replica(1), SECOND));
  }

  @Test
  void replicaThatFailsAgainAndAgainGrowsMoreSlowly() {
    pace.onListed(List.of(replica(1), replica(2)), 0);
    for (int incarnation = 0; incarnation < 4; incarnation++) {
      long now = (10 + incarnation) * SECOND;
      pace.onFailure(replica(1, "s", incarnation), now, now);
      pace.onListed(List.of(replica(1, "s", incarnation + 1), replica(2)), now);
    }
    UpstreamReplica last = replica(1, "s", 4);
    for (int i = 0; i < 8; i++) {
      pace.onResponse(last, 20, 20, 14 * SECOND);
    }
    assertEquals(4, pace.limit(last, 14 * SECOND));
  }

  /**
   * Guards against lost payments and idle replicas: replicas that have failed are tested by
   * requests that may be repeated, and by no others.
   */
  @Test
  void onlyRequestsThatMayBeRepeatedTestReplicas() {
    ReplicaRegistry paced = failedRegistry(pace);
    pace.onListed(paced.notLeaving(), 0);
    ReplicaRegistry baseline = failedRegistry(ReplicaPace.NONE);
    int tests = 0;
    for (int i = 0; i < 100; i++) {
      long now = SECOND + i * Nanos.ofMillis(10);
      assertNotEquals("r1", choose(paced, false, i, now));
      assertNotEquals("r1", choose(baseline, true, i, now));
      tests += choose(paced, true, i, now).equals("r1") ? 1 : 0;
    }
    assertTrue(tests > 0, "never tested");
  }

  /** A placer chooses for plain services whose replicas state how long work takes. */
  @Test
  void onlyRequestsThatMayBeRepeatedTestReplicasForPlacer() {
    List<UpstreamReplica> replicas = List.of(replica(1), replica(2), replica(3));
    pace.onListed(replicas, 0);
    EnginePlacer placer = EnginePlacer.create(SendPermits.UNLIMITED, pace, ReplicaSpeeds.EQUAL);
    placer.replicas(replicas);
    assertEquals("r1", place(placer, "q", true, Set.of("r2", "r3"), 0));
    placer.onEnded("q", false, 0);
    for (int i = 0; i < 8; i++) {
      assertNotEquals("r1", place(placer, "once" + i, false, Set.of(), SECOND));
    }
    assertEquals("r1", place(placer, "again", true, Set.of(), SECOND));
  }

  private static String place(
      EnginePlacer placer, String id, boolean repeatable, Set<String> excluded, long now) {
    return placer
        .place(
            new EnginePlacer.EngineRequest(
                id,
                "e",
                List.of(),
                0,
                0,
                0,
                Optional.empty(),
                0,
                excluded,
                repeatable,
                Optional.empty()),
            now)
        .map(UpstreamReplica::id)
        .orElse("none");
  }

  /** Returns a registry of three replicas, of which the first has failed. */
  private static ReplicaRegistry failedRegistry(ReplicaPace pace) {
    ReplicaRegistry registry = ReplicaRegistry.create(pace);
    registry.replace(List.of(replica(1), replica(2), replica(3)));
    registry.onNoResponse(replica(1), 0, 0);
    return registry;
  }

  private static String choose(
      ReplicaRegistry registry, boolean repeatable, long tieBreaker, long now) {
    return registry
        .choose(
            new PlacementRequest("s", 0, Set.of(), repeatable, tieBreaker),
            LeastLoadPlacement.create(),
            now)
        .map(UpstreamReplica::id)
        .orElse("none");
  }

  @Test
  void otherServicesAreNotPaced() {
    UpstreamReplica other = replica(5, "other", 0);
    pace.onListed(List.of(replica(1)), 0);
    pace.onListed(List.of(replica(1), other), 10 * SECOND);
    assertFalse(pace.onFailure(other, 9 * SECOND, 10 * SECOND));
    assertEquals(ReplicaPace.UNLIMITED, pace.limit(other, 10 * SECOND));
    assertEquals(List.of(), changes);
  }

  /** Lists a replica that starts beside the replica 9, which is known. */
  private void start(int number, long now) {
    pace.onListed(List.of(replica(9)), 0);
    pace.onListed(List.of(replica(9), replica(number)), now);
  }

  private void respond(int number, int responses, double elapsedMillis, long now) {
    for (int i = 0; i < responses; i++) {
      pace.onResponse(replica(number), elapsedMillis, 20, now);
    }
  }
}
