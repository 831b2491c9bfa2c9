package org.arbutusspar.core.stage;

import static org.arbutusspar.core.stage.Pieces.millis;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class StageAdmissionTest {

  private static StageAdmission.Verdict decide(
      double waitMillis, double remainingMillis, int priority, boolean isClientRetry) {
    return StageAdmission.decide(
        1_200, waitMillis, 2_000, remainingMillis, priority, isClientRetry);
  }

  @Test
  void requestsThatCanMeetTheirTargetAreTaken() {
    assertEquals(StageAdmission.Verdict.TAKE, decide(0, 12_000, 2, false));
    assertEquals(StageAdmission.Verdict.TAKE, decide(700, 12_000, 0, false));
  }

  @Test
  void lessUrgentRequestsAreRejectedFirst() {
    assertEquals(StageAdmission.Verdict.OVERLOAD, decide(700, 12_000, 2, false));
    assertEquals(StageAdmission.Verdict.OVERLOAD, decide(1_200, 12_000, 0, false));
  }

  /** Guards against admitting client retries that wait behind all others and fail in the end. */
  @Test
  void clientRetriesAreTakenOnlyWithShortExpectedWait() {
    assertEquals(StageAdmission.Verdict.TAKE, decide(600, 6_000, 0, true));
    assertEquals(StageAdmission.Verdict.OVERLOAD, decide(700, 6_000, 0, true));
    assertEquals(StageAdmission.Verdict.TAKE, decide(200, 6_000, 2, true));
    assertEquals(StageAdmission.Verdict.OVERLOAD, decide(300, 6_000, 2, true));
    assertEquals(StageAdmission.Verdict.NO_TIME, decide(200, 1_300, 2, true));
  }

  /** Guards against queue waits so long that the inputs of the queued pieces expire. */
  @Test
  void clientRetriesAreNotTakenToWaitLongerThanTheResultTtl() {
    assertEquals(StageAdmission.Verdict.OVERLOAD, decide(2_700, 19_000, 0, true));
  }

  /**
   * Guards against taking new requests for client retries: clients of one route use timeouts from
   * 0.86 to 1.0 of the route's timeout.
   */
  @Test
  void shorterClientTimeoutsAloneAreNotTakenForRetries() {
    ClientRetryDetector detector = ClientRetryDetector.create();
    for (int i = 0; i < 200; i++) {
      assertFalse(detector.isClientRetry(10_300 + i * 8, millis(i * 100)));
    }
    assertTrue(detector.isClientRetry(8_500, millis(20_000)));
  }

  @Test
  void detectorAdaptsToShorterClientTimeout() {
    ClientRetryDetector detector = ClientRetryDetector.create();
    assertFalse(detector.isClientRetry(12_000, 0));
    assertTrue(detector.isClientRetry(6_000, millis(1_000)));
    assertTrue(detector.isClientRetry(6_000, millis(11_000)));
    assertFalse(detector.isClientRetry(6_000, millis(22_000)));
  }

  @Test
  void correctedForecastConvergesToTheActualTime() {
    ForecastCorrection correction = ForecastCorrection.create();
    for (int i = 0; i < 100; i++) {
      correction.update(1_000, 1_500);
    }
    assertEquals(1_500, correction.apply(1_000), 10);
  }

  @Test
  void urgencyOrderPutsUrgentPiecesFirstAndLatePiecesLast() {
    Piece late = Pieces.piece("late", 0, 0, -10, Optional.empty());
    Piece soon = Pieces.piece("soon", 0, 2, 100, Optional.empty());
    Piece urgent = Pieces.piece("urgent", 0, 0, 400, Optional.empty());
    var order = UrgencyOrder.create().at(0);
    assertTrue(order.compare(soon, late) < 0);
    assertTrue(order.compare(urgent, soon) < 0, "two priority ranks outweigh 300 ms of start time");
  }
}
