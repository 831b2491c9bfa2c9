package org.arbutusspar.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Checks that the arrivals of a load test are reproducible and follow the requested rate. */
class ArrivalPlanTest {

  private static ArrivalPlan plan(long seed) {
    return ArrivalPlan.create(
        new ArrivalPlan.Shape(10, 200, 10, 5, 40, 0),
        RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
  }

  @Test
  void sameSeedGivesSameArrivals() {
    ArrivalPlan first = plan(4);
    ArrivalPlan second = plan(4);
    for (int i = 0; i < 100; i++) {
      assertEquals(first.nextArrivalSeconds(), second.nextArrivalSeconds());
    }
  }

  @Test
  void countsFollowTheShape() {
    ArrivalPlan plan = plan(1);
    int beforeBroadcast = 0;
    int sinceBroadcast = 0;
    for (double arrivalSeconds = plan.nextArrivalSeconds();
        arrivalSeconds >= 0;
        arrivalSeconds = plan.nextArrivalSeconds()) {
      beforeBroadcast += arrivalSeconds < 10 ? 1 : 0;
      sinceBroadcast += arrivalSeconds >= 10 ? 1 : 0;
    }
    assertEquals(100, beforeBroadcast, 30);
    // 30 s at 10 requests per second, plus the integral of the decaying excess over that rate:
    // 190 * 5 * (1 - e^-6).
    assertEquals(1_248, sinceBroadcast, 110);
  }
}
