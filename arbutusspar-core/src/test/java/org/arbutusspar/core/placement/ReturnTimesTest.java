package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.stage.ClientRetryDetector;
import org.junit.jupiter.api.Test;

class ReturnTimesTest {

  private static double after(
      double remainingMillis, double latestInTimeMillis, double roomMillis, double draw) {
    return ReturnTimes.create()
        .afterMillis(
            new ReturnTimes.Rejection(remainingMillis, latestInTimeMillis, roomMillis, draw), 0, 0);
  }

  @Test
  void clientsReturnWhileTheirResponseCanBeInTime() {
    for (double draw : new double[] {0, 0.5, 1}) {
      double millis = after(1_000, 150, 0, draw);
      assertTrue(millis >= 20 && millis < 150, millis + " ms");
    }
    assertEquals(60, after(1_000, 150, 60, 0), "not before there is room");
  }

  /** Clients comply up to a third of the time that they have left. */
  @Test
  void lateClientsReturnWhenTheyCanBeToldFromNewOnes() {
    for (double draw : new double[] {0, 0.5, 1}) {
      double millis = after(1_000, -20, 0, draw);
      assertTrue(millis < 1_000 / 3.0, millis + " ms");
      ClientRetryDetector detector = ClientRetryDetector.create();
      assertFalse(detector.isClientRetry(1_000, 0));
      assertTrue(detector.isClientRetry((long) (1_000 - millis), Nanos.ofMillis(500)));
    }
    assertEquals(280, after(1_000, -20, 280, 0), "not before there is room");
    assertEquals(310, after(1_000, -20, 700, 0.5));
  }

  @Test
  void clientsWithLongTargetsReturnInTimeAndAreToldFromNewOnes() {
    for (double draw : new double[] {0, 0.5, 1}) {
      double millis = after(6_000, 1_500, 0, draw);
      assertTrue(millis >= 1_320 && millis <= 1_500, millis + " ms");
    }
  }

  /** Guards against clients that return together to room for a few. */
  @Test
  void clientsReturnAtThePaceOfTheRoomForThem() {
    ReturnTimes times = ReturnTimes.create();
    var rejection = new ReturnTimes.Rejection(12_000, -1, 0, 0.5);
    double first = times.afterMillis(rejection, 20, 0);
    assertEquals(first + 200, times.afterMillis(rejection, 20, 0), 1);
    assertEquals(first + 400, times.afterMillis(rejection, 20, 0), 1);
    assertEquals(
        first + 300, times.afterMillis(rejection, 20, Nanos.ofMillis(300)), 1, "300 ms later");
  }
}
