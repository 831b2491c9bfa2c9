package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.junit.jupiter.api.Test;

class ObservedSpeedsTest {

  private static final OptionalInt USUAL = OptionalInt.of(100);

  private static UpstreamReplica replica(int number, long startedMillis) {
    return new UpstreamReplica(
        "r" + number,
        "s",
        new Endpoint("10.0.0." + number, 80),
        DataCentre.of("here"),
        32,
        false,
        startedMillis);
  }

  private static List<UpstreamReplica> replicas(int count) {
    List<UpstreamReplica> replicas = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      replicas.add(replica(i, 1));
    }
    return replicas;
  }

  private static void work(ObservedSpeeds speeds, UpstreamReplica replica, double millis) {
    speeds.onStated(replica, 100, 0);
    speeds.onWork(replica, 100, millis, USUAL, 0);
  }

  /**
   * Replays a neighbour that is there 15% of the time, drawn anew every 600 ms, and slows work to
   * 250%. The replica states it in responses at random times. The estimate of the time that work
   * takes is compared with the truth some time after each response, beside that of equal speeds and
   * of the last statement.
   */
  @Test
  void estimateOfWorkBesideNeighbourIsCloserThanEqualSpeedsAndThanTheLastFigure() {
    Random random = new Random(11);
    UpstreamReplica replica = replica(1, 1);
    ObservedSpeeds speeds = ObservedSpeeds.create();
    boolean[] present = new boolean[2_000];
    for (int i = 0; i < present.length; i++) {
      present[i] = random.nextDouble() < 0.15;
    }
    double squaredErrorOfEstimate = 0;
    double squaredErrorOfEqual = 0;
    double squaredErrorOfLast = 0;
    for (int millis = 0; millis < 1_000_000; ) {
      int stated = present[millis / 600] ? 250 : 100;
      speeds.onStated(replica, stated, Nanos.ofMillis(millis));
      int later = millis + random.nextInt(800);
      double truth = present[later / 600] ? 250 : 100;
      double estimate = 100 / speeds.relativeSpeed(replica, Nanos.ofMillis(later));
      squaredErrorOfEstimate += Math.pow(estimate - truth, 2);
      squaredErrorOfEqual += Math.pow(100 - truth, 2);
      squaredErrorOfLast += Math.pow(stated - truth, 2);
      millis = later + random.nextInt(200);
    }
    assertTrue(
        squaredErrorOfEstimate < 0.8 * Math.min(squaredErrorOfEqual, squaredErrorOfLast),
        squaredErrorOfEstimate + " " + squaredErrorOfEqual + " " + squaredErrorOfLast);
  }

  @Test
  void oldFigureDecaysToTheMeanOfWhatWasStated() {
    ObservedSpeeds speeds = ObservedSpeeds.create();
    UpstreamReplica replica = replica(1, 1);
    for (int i = 0; i < 100; i++) {
      speeds.onStated(replica, i % 4 == 0 ? 300 : 100, Nanos.ofMillis(i * 2_000));
    }
    speeds.onStated(replica, 300, Nanos.ofMillis(200_000));
    double fresh = speeds.relativeSpeed(replica, Nanos.ofMillis(200_010));
    double old = speeds.relativeSpeed(replica, Nanos.ofMillis(203_000));
    assertEquals(100.0 / 300, fresh, 0.1);
    assertEquals(100.0 / 150, old, 0.1);
  }

  @Test
  void lastingSpeedFollowsTheTimesOfWorkAndLeavesOutTheNeighbour() {
    ObservedSpeeds speeds = ObservedSpeeds.create();
    for (int i = 0; i < 60; i++) {
      work(speeds, replica(1, 1), 200);
      work(speeds, replica(2, 1), 100);
      speeds.onWork(replica(3, 1), 100, 250, OptionalInt.of(250), 0);
    }
    double slow = speeds.lastingSpeed(replica(1, 1), 0);
    double fast = speeds.lastingSpeed(replica(2, 1), 0);
    assertEquals(2, fast / slow, 0.35);
    assertEquals(fast, speeds.lastingSpeed(replica(3, 1), 0), 0.01);
  }

  @Test
  void oneRequestThatTakesLongDoesNotMakeItsReplicaLookSlow() {
    ObservedSpeeds speeds = ObservedSpeeds.create();
    for (int i = 0; i < 60; i++) {
      replicas(3).forEach(each -> work(speeds, each, 100));
    }
    work(speeds, replica(1, 1), 5_000);
    assertTrue(speeds.lastingSpeed(replica(1, 1), 0) > 0.8);
    for (int i = 0; i < 10; i++) {
      work(speeds, replica(1, 1), 500);
    }
    assertTrue(speeds.lastingSpeed(replica(1, 1), 0) < 0.6);
  }

  /** A replica that is avoided shows nothing new, so what it has shown must lose its weight. */
  @Test
  void replicaThatWasSlowIsTriedAgain() {
    ObservedSpeeds speeds = ObservedSpeeds.create();
    for (int i = 0; i < 20; i++) {
      work(speeds, replica(1, 1), 400);
      work(speeds, replica(2, 1), 100);
      work(speeds, replica(3, 1), 100);
    }
    assertTrue(speeds.lastingSpeed(replica(1, 1), 0) < 0.6);
    assertTrue(speeds.lastingSpeed(replica(1, 1), Nanos.ofMillis(15_000)) > 0.8);
  }

  @Test
  void replicaThatStartsAnewIsUnknown() {
    ObservedSpeeds speeds = ObservedSpeeds.create();
    for (int i = 0; i < 20; i++) {
      work(speeds, replica(1, 1), 300);
      work(speeds, replica(2, 1), 100);
    }
    assertTrue(speeds.relativeSpeed(replica(1, 1), 0) < 0.75);
    assertEquals(1, speeds.relativeSpeed(replica(1, 2), 0));
  }

  @Test
  void speedsAreEqualIfNoReplicaStatesHowLongWorkTakes() {
    ObservedSpeeds speeds = ObservedSpeeds.create();
    for (int i = 0; i < 20; i++) {
      speeds.onWork(replica(1, 1), 100, 900, OptionalInt.empty(), 0);
      speeds.onWork(replica(2, 1), 100, 100, OptionalInt.empty(), 0);
    }
    assertEquals(1, speeds.relativeSpeed(replica(1, 1), 0));
    assertEquals(1, speeds.relativeSpeed(replica(2, 1), 0));
  }

  /**
   * Replays several instances that choose replicas of a plain service alone, all of which have just
   * read that one replica is fast and another one slow.
   */
  @Test
  void severalChoosersLeaveTheSlowReplicaAndDoNotAllRushToTheFastOne() {
    Map<String, Integer> chosen = new HashMap<>();
    for (int instance = 0; instance < 20; instance++) {
      ReplicaRegistry registry = ReplicaRegistry.create();
      registry.replace(replicas(4));
      int[] statedPercents = {60, 100, 100, 250};
      for (int i = 0; i < statedPercents.length; i++) {
        StatedLoad load = new StatedLoad(1, 0, 32, OptionalInt.of(statedPercents[i]));
        registry.onReport(replica(i + 1, 1), load, 0);
      }
      for (int i = 0; i < 10; i++) {
        PlacementRequest request =
            new PlacementRequest("s", 0, Collections.emptySet(), true, instance * 100L + i);
        UpstreamReplica replica =
            registry.choose(request, LeastLoadPlacement.create(), Nanos.ofMillis(1)).orElseThrow();
        chosen.merge(replica.id(), 1, Integer::sum);
      }
    }
    assertEquals(0, chosen.getOrDefault("r4", 0), chosen.toString());
    assertTrue(chosen.get("r1") < 100, chosen.toString());
    assertTrue(chosen.get("r2") > 30 && chosen.get("r3") > 30, chosen.toString());
  }

  /**
   * Replays a plain service of three replicas beside neighbours, with requests of thirty instances.
   * Each instance alone sees a replica every few seconds; one placer sees it several times within
   * the time that a neighbour stays.
   */
  @Test
  void onePlacerAvoidsNeighboursThatInstancesAloneCannotFollow() {
    List<ReplicaRegistry> registries = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      registries.add(ReplicaRegistry.create());
      registries.get(i).replace(replicas(3));
    }
    ObservedSpeeds speeds = ObservedSpeeds.create();
    double alone =
        meanPercent(
            (number, now) ->
                registries
                    .get(number % 30)
                    .choose(
                        new PlacementRequest("s", 0, Collections.emptySet(), true, number),
                        LeastLoadPlacement.create(),
                        now)
                    .orElseThrow(),
            (number, replica, percent, now) ->
                registries
                    .get(number % 30)
                    .onReport(replica, new StatedLoad(0, 0, 6, OptionalInt.of(percent)), now));
    double equal = meanPercent(placing(ReplicaSpeeds.EQUAL), (number, replica, percent, now) -> {});
    double placed =
        meanPercent(
            placing(speeds),
            (number, replica, percent, now) -> speeds.onStated(replica, percent, now));
    assertTrue(placed - 100 < 0.6 * (equal - 100), placed + " " + equal);
    assertTrue(placed - 100 < 0.6 * (alone - 100), placed + " " + alone);
  }

  private interface Chooser {
    UpstreamReplica choose(int number, long now);
  }

  private interface Responses {
    void onResponse(int number, UpstreamReplica replica, int percent, long now);
  }

  private static Chooser placing(ReplicaSpeeds speeds) {
    EnginePlacer placer = EnginePlacer.create(SendPermits.UNLIMITED, ReplicaPace.NONE, speeds);
    placer.replicas(replicas(3));
    return (number, now) -> {
      String id = "q" + number;
      UpstreamReplica replica =
          placer
              .place(
                  new EnginePlacer.EngineRequest(
                      id, "e", List.of(), 0, 0, 0, Optional.empty(), 0, List.of()),
                  now)
              .orElseThrow();
      placer.onEnded(id, true, now);
      return replica;
    };
  }

  /** Returns the mean time that work takes at the chosen replicas, in percent of the usual. */
  private static double meanPercent(Chooser chooser, Responses responses) {
    Random random = new Random(3);
    int requests = 10_000;
    int[] present = new int[4];
    double total = 0;
    for (int number = 0; number < requests; number++) {
      long millis = number * 24L;
      if (millis % 600 == 0) {
        for (int i = 1; i < present.length; i++) {
          present[i] = random.nextDouble() < 0.15 ? 250 : 100;
        }
      }
      UpstreamReplica replica = chooser.choose(number, Nanos.ofMillis(millis));
      int percent = present[Integer.parseInt(replica.id().substring(1))];
      total += percent;
      responses.onResponse(number, replica, percent, Nanos.ofMillis(millis));
    }
    return total / requests;
  }
}
