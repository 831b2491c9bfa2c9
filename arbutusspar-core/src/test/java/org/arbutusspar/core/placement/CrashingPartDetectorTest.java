package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.junit.jupiter.api.Test;

class CrashingPartDetectorTest {

  private static final Set<String> NONE = Set.of();

  private final CrashingPartDetector detector = CrashingPartDetector.create();
  private int requests;

  private static UpstreamReplica replica(String id) {
    return new UpstreamReplica(
        id, "s", new Endpoint("10.0.0.1", 80), DataCentre.of("a"), 8, false, 0);
  }

  private static long at(double millis) {
    return (long) (millis * 1_000_000);
  }

  private String place(String replica, double millis, String... parts) {
    String id = "q" + requests++;
    detector.onPlaced(id, List.of(parts), replica(replica), at(millis));
    return id;
  }

  private Set<String> crash(String replica, double millis, String... parts) {
    return crash(replica, "request/" + requests, millis, parts);
  }

  private Set<String> crash(String replica, String subject, double millis, String[] parts) {
    return detector.onBroken(place(replica, millis, parts), subject, at(millis + 50)).crashing();
  }

  private Set<String> complete(String replica, double millis, String... parts) {
    String id = place(replica, millis, parts);
    detector.onResponseStarted(id, at(millis + 20));
    return detector.onCompleted(id, at(millis + 40)).cleared();
  }

  @Test
  void partInThreeCrashesInSequenceIsCrashing() {
    assertEquals(NONE, crash("r1", 0, "first", "bad"));
    complete("r9", 100, "first", "good");
    assertEquals(NONE, crash("r2", 1_000, "first", "bad"));
    complete("r9", 1_100, "first", "good");
    assertEquals(Set.of("bad"), crash("r3", 2_000, "first", "bad"));
    assertEquals(3, detector.crashedReplicas("bad").size());
  }

  /** Requests that share a part with a repeated request that crashes engines were rejected. */
  @Test
  void partOfOneRepeatedRequestIsNotBlamed() {
    String[] parts = {"shared", "rare"};
    for (int i = 0; i < 10; i++) {
      assertEquals(NONE, crash("r" + i, "request/1-1", i * 1_000, parts));
    }
    assertEquals(NONE, crash("r10", "request/2-2", 10_000, parts));
    assertEquals(Set.of("rare"), crash("r11", "request/3-3", 11_000, parts));
  }

  /** The part that all requests share was blocked when each crash broke off another one too. */
  @Test
  void partsOfRequestsBesideRepeatedOneAreNotBlamed() {
    for (int i = 0; i < 10; i++) {
      String repeated = place("r" + i, i * 1_000, "shared");
      String beside = place("r" + i, i * 1_000, "shared");
      long brokenAt = at(i * 1_000 + 50);
      assertEquals(NONE, detector.onBroken(beside, "request/" + beside, brokenAt).crashing());
      assertEquals(NONE, detector.onBroken(repeated, "request/1-1", brokenAt).crashing());
    }
  }

  /** A power loss of all engines would block the parts that all of their requests share. */
  @Test
  void replicasThatCrashTogetherCountOnce() {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      ids.add(place("r" + i, i, "first"));
    }
    ids.forEach(
        id -> assertEquals(NONE, detector.onBroken(id, "request/" + id, at(100)).crashing()));
    assertEquals(1, detector.crashedReplicas("first").size());
  }

  /** An engine that resets connections but keeps running would cause sound parts to be blocked. */
  @Test
  void replicaThatRespondsAfterItsSupposedCrashHasNotCrashed() {
    crash("r1", 0, "x");
    crash("r2", 500, "x");
    assertEquals(Set.of("x"), crash("r3", 1_000, "x"));
    String id = place("r2", 1_200, "y");
    assertEquals(Set.of("x"), detector.onResponseStarted(id, at(1_300)).cleared());
  }

  /** Parts were blocked since one engine reset each connection. */
  @Test
  void replicaThatBreaksOffAgainHasNotCrashed() {
    for (int i = 0; i < 9; i++) {
      assertEquals(NONE, crash("r1", i * 1_000, "x"));
    }
    assertEquals(List.of(), detector.crashedReplicas("x"));
    assertEquals(NONE, crash("r2", 9_500, "x"));
    assertEquals(NONE, crash("r3", 10_000, "x"));
    assertEquals(Set.of("x"), crash("r4", 10_500, "x"));
  }

  @Test
  void completedResponseClearsPart() {
    final String before = place("r8", 0, "x");
    detector.onResponseStarted(before, at(1));
    crash("r1", 10, "x");
    crash("r2", 500, "x");
    assertEquals(Set.of("x"), crash("r3", 1_000, "x"));
    assertEquals(
        NONE, detector.onCompleted(before, at(1_100)).cleared(), "started before the crashes");
    assertEquals(Set.of("x"), complete("r9", 1_200, "x"));
    assertEquals(NONE, crash("r4", 2_000, "x"));
  }

  /** Parts that most requests share are in flight at each replica that crashes. */
  @Test
  void partWithCompleteResponsesNeedsMoreCrashes() {
    complete("r9", 0, "x");
    for (int i = 1; i <= 4; i++) {
      assertEquals(NONE, crash("r" + i, i * 1_000, "x"));
    }
    assertEquals(Set.of("x"), crash("r5", 5_000, "x"));
  }

  @Test
  void crashLongAfterStartOfResponseIsNotAttributed() {
    String id = place("r1", 0, "x");
    detector.onResponseStarted(id, at(100));
    assertEquals(NONE, detector.onBroken(id, "request/" + id, at(2_200)).crashing());
    assertEquals(List.of(), detector.crashedReplicas("x"));
  }

  @Test
  void crashUnderCrashingPartIsNotHeldAgainstOthers() {
    for (int i = 0; i < 2; i++) {
      String other = place("r" + i, i * 1_000, "other");
      crash("r" + i, i * 1_000 + 10, "bad");
      detector.onBroken(other, "request/" + other, at(i * 1_000 + 70));
    }
    assertEquals(2, detector.crashedReplicas("other").size());
    assertEquals(Set.of("bad"), crash("r3", 3_000, "bad"));
    assertEquals(List.of(), detector.crashedReplicas("other"));
    assertEquals(Set.of("bad"), crash("r4", 4_000, "bad", "other"), "one more, in flight before");
    assertEquals(List.of(), detector.crashedReplicas("other"));
  }

  @Test
  void partsThatOccurOnlyTogetherNeedMoreCrashes() {
    for (int i = 1; i <= 4; i++) {
      assertEquals(NONE, crash("r" + i, i * 1_000, "x", "y"));
    }
    assertEquals(Set.of("y"), crash("r5", 5_000, "x", "y"));
    assertEquals(List.of(), detector.crashedReplicas("x"));
  }

  /** A part that all requests share was blocked, since none of them came between the crashes. */
  @Test
  void partOfSoundRequestsIsNotBlamedWithNewOne() {
    complete("r9", 0, "first", "good");
    assertEquals(NONE, crash("r1", 1_000, "first", "bad"));
    assertEquals(NONE, crash("r2", 2_000, "first", "bad"));
    assertEquals(Set.of("bad"), crash("r3", 3_000, "first", "bad"));
    assertEquals(Set.of("bad"), crash("r4", 4_000, "first", "bad"));
    assertEquals(List.of(), detector.crashedReplicas("first"));
  }

  @Test
  void requestThatEndsWithoutVerdictTellsNothing() {
    String id = place("r1", 0, "x");
    detector.onEnded(id);
    assertEquals(NONE, detector.onBroken(id, "request/" + id, at(10)).crashing());
    assertEquals(NONE, detector.onCompleted(id, at(10)).cleared());
  }

  /**
   * Replays the load of the incident: requests of three kinds share first parts with those that
   * crash their engine; an engine that crashes breaks all of its requests and is back after 3.2 s.
   */
  @Test
  void findsPartOfIncidentInTimeAndNoOther() {
    for (int seed = 0; seed < 50; seed++) {
      IncidentLoad load = new IncidentLoad(seed);
      load.run();
      assertTrue(load.lateRequests <= 3, "seed " + seed + ": " + load.lateRequests + " late");
      assertEquals(Set.of("bad"), load.blocked, "seed " + seed);
    }
  }

  /** Engines that crash at random under the same load, and no part that is to blame. */
  @Test
  void randomCrashesBlockFewPartsForShort() {
    long blockedRequests = 0;
    long allRequests = 0;
    for (int seed = 0; seed < 50; seed++) {
      IncidentLoad load = new IncidentLoad(seed);
      load.crashShare = 0;
      load.randomCrashMillis = 1_000;
      load.run();
      blockedRequests += load.refused;
      allRequests += load.arrived;
    }
    assertTrue(blockedRequests * 200 < allRequests, blockedRequests + " of " + allRequests);
    assertFalse(allRequests == 0);
  }

  /** Requests at nine engines over 30 s, in steps of 10 ms. */
  private static final class IncidentLoad {
    private static final int ENGINES = 9;
    private static final int STEP_MILLIS = 10;
    private static final int RESTART_MILLIS = 3_200;
    private static final int REACTION_MILLIS = 3_000;

    private final Random random;
    private final CrashingPartDetector detector = CrashingPartDetector.create();
    private final List<Running> running = new ArrayList<>();
    private final long[] upAt = new long[ENGINES];
    private final int[] incarnation = new int[ENGINES];
    private final Set<String> blocked = new HashSet<>();
    private double crashShare = 0.07;
    private long randomCrashMillis = Long.MAX_VALUE;
    private int crashes;
    private int fifthCrashAt = Integer.MAX_VALUE - REACTION_MILLIS;

    /** Requests with the crashing part that reach an engine too long after the fifth crash. */
    private int lateRequests;

    private int refused;
    private int arrived;

    private record Running(String id, int engine, boolean crashing, int startAt, int endAt) {}

    private IncidentLoad(int seed) {
      random = new Random(seed);
    }

    private void run() {
      for (int now = 0; now < 30_000; now += STEP_MILLIS) {
        if (random.nextDouble() < 0.25) {
          arrive(now);
        }
        if (now > 0 && now % randomCrashMillis == 0) {
          crash(random.nextInt(ENGINES), now);
        }
        advance(now);
      }
    }

    private void arrive(int now) {
      arrived++;
      boolean crashing = random.nextDouble() < crashShare;
      List<String> parts =
          crashing
              ? List.of("first" + random.nextInt(20), "bad")
              : List.of("first" + random.nextInt(20), "second" + random.nextInt(240));
      if (parts.stream().anyMatch(blocked::contains)) {
        refused++;
        return;
      }
      Optional<Integer> engine =
          random.ints(50, 0, ENGINES).boxed().filter(e -> upAt[e] <= now).findFirst();
      if (engine.isEmpty()) {
        return;
      }
      String id = "q" + arrived;
      String name = "r" + engine.get() + "-" + incarnation[engine.get()];
      detector.onPlaced(id, parts, replica(name), Nanos.ofMillis(now));
      lateRequests += crashing && now > fifthCrashAt + REACTION_MILLIS ? 1 : 0;
      int startAt = now + 50 + random.nextInt(200);
      running.add(
          new Running(id, engine.get(), crashing, startAt, startAt + 200 + random.nextInt(1_800)));
    }

    private void advance(int now) {
      for (Running request : List.copyOf(running)) {
        if (!running.contains(request)) {
          continue;
        }
        if (request.crashing() && request.startAt() <= now) {
          crash(request.engine(), now);
        } else if (request.startAt() == now - now % STEP_MILLIS) {
          note(detector.onResponseStarted(request.id(), Nanos.ofMillis(now)));
        }
        if (running.contains(request) && request.endAt() <= now) {
          running.remove(request);
          note(detector.onCompleted(request.id(), Nanos.ofMillis(now)));
        }
      }
    }

    private void note(CrashingPartDetector.Findings findings) {
      blocked.addAll(findings.crashing());
      blocked.removeAll(findings.cleared());
    }

    private void crash(int engine, int now) {
      if (++crashes == 5) {
        fifthCrashAt = now;
      }
      for (Running request : List.copyOf(running)) {
        if (request.engine() == engine) {
          running.remove(request);
          note(detector.onBroken(request.id(), "request/" + request.id(), Nanos.ofMillis(now)));
        }
      }
      upAt[engine] = now + RESTART_MILLIS;
      incarnation[engine]++;
    }
  }
}
