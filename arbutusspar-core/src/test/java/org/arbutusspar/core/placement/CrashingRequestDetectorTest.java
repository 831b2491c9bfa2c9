package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.arbutusspar.core.Nanos;
import org.junit.jupiter.api.Test;

class CrashingRequestDetectorTest {

  private static final long RUN_MILLIS = 100;

  private final CrashingRequestDetector detector = CrashingRequestDetector.create();

  private static CrashReport crashReport(String subject, String replica, long sentMillis) {
    return new CrashReport(
        subject, replica, Nanos.ofMillis(sentMillis), Nanos.ofMillis(sentMillis + RUN_MILLIS));
  }

  private List<String> crash(String subject, String replica, long sentMillis) {
    long brokenAt = Nanos.ofMillis(sentMillis + RUN_MILLIS);
    detector.add(crashReport(subject, replica, sentMillis), brokenAt);
    return detector.findings(brokenAt).crashing();
  }

  /** Returns what is found when the reports up to a time have settled. */
  private List<String> foundAt(long millis) {
    return detector.findings(Nanos.ofMillis(millis)).crashing();
  }

  @Test
  void requestThatCrashedThreeReplicasIsCrashing() {
    assertEquals(List.of(), crash("bad", "r1", 0));
    assertEquals(List.of(), crash("bad", "r2", 1_000));
    crash("bad", "r3", 2_000);
    assertEquals(List.of("bad"), foundAt(2_400));
    assertEquals(List.of("r1", "r2", "r3"), detector.crashedReplicas("bad"));
    assertEquals(List.of(), foundAt(4_000));
  }

  /** After the end of a block, three more replicas would have to crash. */
  @Test
  void knownRequestIsFoundAgainAfterOneCrash() {
    crash("bad", "r1", 0);
    crash("bad", "r2", 1_000);
    crash("bad", "r3", 2_000);
    assertEquals(List.of("bad"), foundAt(2_400));
    assertEquals(List.of("bad"), crash("bad", "r4", 700_000));
    assertEquals(List.of(), foundAt(701_000));
  }

  /** The load of the incident: one request again and again, and others that break beside it. */
  @Test
  void requestsBesideCrashingOneAreNotBlamed() {
    crash("bad", "r1", 0);
    crash("sound1", "r1", 0);
    crash("bad", "r2", 1_000);
    crash("sound1", "r2", 1_000);
    crash("sound2", "r2", 1_000);
    crash("sound1", "r3", 2_000);
    crash("bad", "r3", 2_000);
    assertEquals(List.of(), foundAt(2_900));
    crash("sound2", "r4", 3_000);
    crash("bad", "r4", 3_000);
    assertEquals(List.of("bad"), foundAt(3_900));
    crash("sound1", "r4", 3_000);
    assertEquals(List.of(), foundAt(5_000));
    crash("sound2", "r5", 6_000);
    assertEquals(List.of("bad"), crash("bad", "r5", 6_000));
    assertEquals(List.of(), detector.crashedReplicas("sound2"));
    assertEquals(List.of(), detector.crashedReplicas("sound1"));
  }

  /** Two requests that are always together cannot be told apart, and both are stopped. */
  @Test
  void requestsThatAreAlwaysTogetherAreFoundAfterFiveCrashes() {
    for (int i = 0; i < 4; i++) {
      crash("a", "r" + i, i * 1_000);
      crash("b", "r" + i, i * 1_000);
      assertEquals(List.of(), foundAt(i * 1_000 + 900));
    }
    crash("a", "r4", 4_000);
    crash("b", "r4", 4_000);
    assertFalse(foundAt(4_900).isEmpty());
  }

  /** A power loss of all replicas under copies of one request would block it. */
  @Test
  void replicasThatFailAtTheSameMomentAreNoEvidence() {
    for (int i = 0; i < 8; i++) {
      crash("hot", "r" + i, i);
    }
    assertEquals(List.of(), foundAt(1_000));
  }

  @Test
  void requestWithCompleteResponseIsSound() {
    crash("x", "r1", 0);
    crash("x", "r2", 1_000);
    assertTrue(detector.onCompleted("x"));
    assertFalse(detector.onCompleted("x"));
    crash("x", "r3", 2_000);
    crash("x", "r4", 3_000);
    assertEquals(List.of(), foundAt(4_000));
  }

  /** A replica that resets each connection has not crashed, and no request is to blame. */
  @Test
  void replicasThatBreakOffEveryRequestHaveNotCrashed() {
    for (int round = 0; round < 20; round++) {
      for (int replica = 0; replica < 4; replica++) {
        long sent = round * 900 + replica * 200;
        assertEquals(List.of(), crash("q" + (round % 3), "r" + replica, sent));
        assertEquals(List.of(), crash("other" + round, "r" + replica, sent + 150));
      }
    }
  }

  @Test
  void responseSoonAfterCrashRefutesIt() {
    crash("x", "r1", 0);
    crash("x", "r2", 1_000);
    crash("x", "r3", 2_000);
    assertEquals(List.of("x"), foundAt(2_400));
    assertFalse(detector.refuteCrash("r3", Nanos.ofMillis(2_050)));
    assertTrue(detector.refuteCrash("r3", Nanos.ofMillis(2_500)));
    assertFalse(detector.refuteCrash("r3", Nanos.ofMillis(2_600)));
    assertEquals(List.of("x"), detector.findings(Nanos.ofMillis(2_500)).cleared());
  }

  /** A crashed replica that starts again under its identifier responds some seconds later. */
  @Test
  void responseAfterRestartDoesNotRefuteCrash() {
    crash("x", "r1", 0);
    assertFalse(detector.refuteCrash("r1", Nanos.ofMillis(3_000)));
    crash("x", "r2", 4_000);
    crash("x", "r3", 5_000);
    assertEquals(List.of("x"), foundAt(5_400));
  }

  /** Instances that get reports in another order, or twice, would find something else. */
  @Test
  void findingsDoNotDependOnOrderOfReports() {
    Random random = new Random(7);
    for (int run = 0; run < 200; run++) {
      List<CrashReport> reports = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        reports.add(crashReport("bad", "r" + i, i * 1_000));
        reports.add(crashReport("sound" + i, "r" + i, i * 1_000));
        reports.add(crashReport("often", "r" + Math.min(i, 2), i * 1_000));
      }
      reports.addAll(reports.subList(0, 3));
      Collections.shuffle(reports, random);
      CrashingRequestDetector shuffled = CrashingRequestDetector.create();
      List<String> crashing = new ArrayList<>();
      for (CrashReport report : reports) {
        shuffled.add(report, Nanos.ofMillis(5_000));
      }
      crashing.addAll(shuffled.findings(Nanos.ofMillis(5_000)).crashing());
      assertEquals(List.of("bad"), crashing);
    }
  }

  @Test
  void copyOfReportIsNotNew() {
    assertTrue(detector.add(crashReport("x", "r1", 0), Nanos.ofMillis(100)));
    assertFalse(detector.add(crashReport("x", "r1", 0), Nanos.ofMillis(100)));
    assertEquals(List.of(crashReport("x", "r1", 0)), detector.reports());
  }

  @Test
  void reportsExpire() {
    crash("x", "r1", 0);
    crash("x", "r2", 1_000);
    crash("y", "r3", 700_000);
    crash("x", "r4", 701_000);
    assertEquals(List.of(), foundAt(702_000));
    assertEquals(List.of("r4"), detector.crashedReplicas("x"));
  }
}
