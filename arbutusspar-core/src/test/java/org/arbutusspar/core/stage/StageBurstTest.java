package org.arbutusspar.core.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.stage.StageReplay.Kind;
import org.arbutusspar.core.stage.StageReplay.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class StageBurstTest {

  /** Share of the requests of kinds without a burst that callers need to get in time. */
  private static final double MIN_OTHERS_IN_TIME = 0.8;

  /** Share of the capacity that must serve requests in time during a burst. */
  private static final double MIN_CAPACITY_IN_TIME = 0.75;

  private static Map<Kind, Outcome> replay(WaitShares shares, Map<Kind, Double> bursts) {
    return new StageReplay(shares).replay(bursts);
  }

  @ParameterizedTest
  @EnumSource(Kind.class)
  void otherKindsAreServedInTimeDuringBurst(Kind burst) {
    Map<Kind, Outcome> baseline = replay(WaitShares.BY_PRIORITY, Map.of(burst, 5.0));
    Map<Kind, Outcome> outcomes = replay(WaitShares.BY_KIND_LOAD, Map.of(burst, 5.0));
    String figures = outcomes + ", baseline " + baseline;
    for (Kind kind : Kind.values()) {
      assertTrue(kind == burst || outcomes.get(kind).inTimeShare() >= MIN_OTHERS_IN_TIME, figures);
    }
    int inTime = outcomes.values().stream().mapToInt(outcome -> outcome.inTime).sum();
    assertTrue(inTime >= MIN_CAPACITY_IN_TIME * StageReplay.BURST_CAPACITY, figures);
  }

  /** Guards against rejecting urgent requests because of patient ones that they go ahead of. */
  @ParameterizedTest
  @EnumSource(value = Kind.class, names = "URGENT", mode = EnumSource.Mode.EXCLUDE)
  void urgentRequestsAreNotRejectedForPatientOnes(Kind burst) {
    Outcome baseline = replay(WaitShares.BY_PRIORITY, Map.of(burst, 5.0)).get(Kind.URGENT);
    Outcome urgent = replay(WaitShares.BY_KIND_LOAD, Map.of(burst, 5.0)).get(Kind.URGENT);
    assertEquals(0, urgent.rejectedTwice, urgent + ", baseline " + baseline);
    assertTrue(urgent.inTime > 2 * baseline.inTime, urgent + ", baseline " + baseline);
  }

  @Test
  void urgentKindsAreServedMoreOftenDuringBurstOfAllKinds() {
    Map<Kind, Double> bursts = Map.of(Kind.URGENT, 3.0, Kind.NORMAL, 3.0, Kind.PATIENT, 3.0);
    Map<Kind, Outcome> outcomes = replay(WaitShares.BY_KIND_LOAD, bursts);
    double urgent = outcomes.get(Kind.URGENT).inTimeShare();
    double normal = outcomes.get(Kind.NORMAL).inTimeShare();
    double patient = outcomes.get(Kind.PATIENT).inTimeShare();
    assertTrue(urgent > normal && normal > patient, outcomes.toString());
    assertTrue(patient > 0.2, outcomes.toString());
  }

  @Test
  void waitDependsOnThePlaceInTheOrder() {
    WaitByUrgency waits = WaitByUrgency.create();
    assertEquals(700, waits.waitMillis(600, 700, 0), "no load is known");
    waits.onRequest("urgent", 600, 5, 0);
    waits.onRequest("patient", 3_600, 5, 0);
    assertEquals(0, waits.waitMillis(600, 700, 0), 1);
    assertEquals(1_400, waits.waitMillis(3_600, 700, 0), 1);
    assertEquals(500, waits.waitMillis(600, 2_000, 0), 1);
    assertEquals(3_500, waits.waitMillis(3_600, 2_000, 0), 1);
    waits.onRequest("patient", 3_600, 15, Nanos.ofMillis(60_000));
    assertEquals(700, waits.waitMillis(3_600, 700, Nanos.ofMillis(60_000)), 5);
  }

  /** A kind that was rejected has little load left; it must not be rejected for that. */
  @Test
  void shortQueueIsNoReasonToRejectKindWithLittleLoad() {
    WaitByUrgency waits = WaitByUrgency.create();
    waits.onRequest("urgent", 600, 99, 0);
    waits.onRequest("patient", 3_600, 1, 0);
    assertEquals(200, waits.waitMillis(3_600, 100, 0), 1);
    assertEquals(0, waits.waitMillis(3_600, 0, 0), 1);
  }

  @Test
  void clientRetriesKeepTheTargetOfTheirFirstAttempt() {
    assertEquals(2_500, StageAdmission.clientRetryTargetMillis(400, 4_000, 1_500));
    assertEquals(700, StageAdmission.clientRetryTargetMillis(400, 1_000, 3_000));
  }
}
