package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.junit.jupiter.api.Test;

class EnginePlacerTest {

  private static final DataCentre HERE = DataCentre.of("here");
  private static final DataCentre THERE = DataCentre.of("there");

  private static UpstreamReplica replica(int replicaNumber, int slots) {
    return new UpstreamReplica(
        "r" + replicaNumber,
        "s",
        new Endpoint("10.0.0." + replicaNumber, 80),
        replicaNumber % 2 == 0 ? HERE : THERE,
        slots,
        false,
        0);
  }

  private static EnginePlacer placer(int replicas, int slots) {
    List<UpstreamReplica> listed = new ArrayList<>();
    for (int i = 1; i <= replicas; i++) {
      listed.add(replica(i, slots));
    }
    EnginePlacer placer = EnginePlacer.create();
    placer.replicas(listed);
    return placer;
  }

  private static EnginePlacer.EngineRequest request(String id, long promptKey, long ownTokens) {
    return new EnginePlacer.EngineRequest(
        id, "e-1", List.of(), promptKey, 5_000, ownTokens, Optional.empty(), 0, List.of());
  }

  private static String place(EnginePlacer placer, String id, long promptKey, long ownTokens) {
    return placer
        .place(request(id, promptKey, ownTokens), 0)
        .map(UpstreamReplica::id)
        .orElse("none");
  }

  /**
   * Guards against pauses of running streams: one replica that reads several long prompts in a row
   * pauses them. Six prompts of 12,000 tokens arrive at once.
   */
  @Test
  void longPromptsArrivingTogetherGoToDifferentReplicas() {
    EnginePlacer placer = placer(6, 64);
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 6; i++) {
      counts.merge(place(placer, "q" + i, i % 2, 7_000), 1, Integer::sum);
    }
    assertEquals(6, counts.size(), counts.toString());
  }

  @Test
  void requestsWithTheSamePromptKeyStayOnOneReplicaAtLowLoad() {
    EnginePlacer placer = placer(6, 64);
    String first = place(placer, "q0", 7, 600);
    placer.onResponseStarted("q0", 0);
    for (int i = 1; i < 6; i++) {
      assertEquals(first, place(placer, "q" + i, 7, 600));
      placer.onResponseStarted("q" + i, 0);
    }
  }

  /**
   * Guards against reading shared prompt parts again after a restart of the placer: a new placer
   * does not know which replica has read them. Five placers follow each other, as in a rolling
   * restart.
   */
  @Test
  void newPlacerSendsPromptKeysToTheSameReplicasAsThePreviousOne() {
    Map<Long, Set<String>> replicasByPromptKey = new HashMap<>();
    for (int placerNumber = 0; placerNumber < 5; placerNumber++) {
      EnginePlacer placer = placer(6, 64);
      for (int i = 0; i < 60; i++) {
        String id = "q" + placerNumber + "-" + i;
        long promptKey = 1 + (i * 7 + placerNumber) % 40;
        replicasByPromptKey
            .computeIfAbsent(promptKey, s -> new HashSet<>())
            .add(place(placer, id, promptKey, 600));
        placer.onResponseStarted(id, 0);
        if (i >= 12) {
          placer.onEnded("q" + placerNumber + "-" + (i - 12), true, 0);
        }
      }
    }
    double mean = replicasByPromptKey.values().stream().mapToInt(Set::size).average().orElseThrow();
    assertTrue(mean < 1.7, mean + " replicas per prompt key");
  }

  @Test
  void unreadTokensAreClearedWhenTheResponseStarts() {
    EnginePlacer placer = placer(2, 64);
    String first = place(placer, "q0", 7, 15_000);
    assertNotEquals(first, place(placer, "q1", 7, 15_000));
    placer.onResponseStarted("q0", 0);
    assertEquals(first, place(placer, "q2", 7, 600));
  }

  @Test
  void replicasAtCapacityAreNotChosen() {
    EnginePlacer placer = placer(1, 4);
    Set<String> chosen = new HashSet<>();
    for (int i = 0; i < 4; i++) {
      chosen.add(place(placer, "q" + i, i, 10));
    }
    assertEquals("none", place(placer, "q9", 9, 10));
    placer.onEnded("q0", true, 0);
    assertEquals("r1", place(placer, "q10", 9, 10));
    assertEquals(Set.of("r1"), chosen);
  }

  @Test
  void requestsWithLargeInputsGoToTheDataCentreOfTheInputs() {
    EnginePlacer placer = placer(4, 64);
    for (int i = 0; i < 5; i++) {
      EnginePlacer.EngineRequest request =
          new EnginePlacer.EngineRequest(
              "q" + i, "e-1", List.of(), 0, 0, 10, Optional.of(HERE), 4_000_000, List.of());
      assertEquals(HERE, placer.place(request, 0).orElseThrow().dataCentre());
    }
  }

  @Test
  void coolingDownAndExcludedReplicasAreNotChosen() {
    EnginePlacer placer = placer(2, 64);
    String first = place(placer, "q0", 7, 10);
    placer.onEnded("q0", false, 0);
    assertNotEquals(first, place(placer, "q1", 7, 10));
    String other = place(placer, "q2", 7, 10);
    EnginePlacer.EngineRequest excluded =
        new EnginePlacer.EngineRequest(
            "q3", "e-1", List.of(), 7, 0, 10, Optional.empty(), 0, List.of(other));
    assertFalse(
        placer.place(excluded, 0).map(UpstreamReplica::id).filter(other::equals).isPresent());
  }

  @Test
  void requestsOfRemovedOriginsAndExpiredRequestsAreNotInFlight() {
    EnginePlacer placer = placer(1, 4);
    place(placer, "q0", 1, 10);
    placer.removeOrigin("e-1", 0);
    assertEquals(0, placer.inFlight());
    place(placer, "q1", 1, 10);
    placer.place(request("q2", 1, 10), Nanos.ofMillis(60_001));
    assertEquals(1, placer.inFlight());
    assertTrue(placer.place(request("q2", 1, 10), Nanos.ofMillis(60_002)).isPresent());
    assertEquals(1, placer.inFlight(), "a second placement replaces the first");
  }
}
