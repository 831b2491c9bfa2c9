package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.OptionalInt;
import org.arbutusspar.core.Nanos;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlainServiceLimitTest {

  /** Share of the requests of kinds without a burst that callers need to get in time. */
  private static final double MIN_OTHERS_IN_TIME = 0.8;

  /** Share of the capacity that must serve requests in time during a burst. */
  private static final double MIN_CAPACITY_IN_TIME = 0.75;

  private static Map<String, PlainServiceReplay.Outcome> replay(
      boolean limited, int instances, double abusiveShare, double filings, double lookups) {
    return new PlainServiceReplay(instances, limited, abusiveShare)
        .kind("filing", 73, filings)
        .kind("lookup", 17, lookups)
        .run();
  }

  private static int inTime(Map<String, PlainServiceReplay.Outcome> outcomes) {
    return outcomes.values().stream().mapToInt(outcome -> outcome.inTime).sum();
  }

  @ParameterizedTest
  @CsvSource({"filing, 1, 30", "lookup, 8, 1"})
  void otherKindsAreServedInTimeDuringBurst(String other, double filings, double lookups) {
    for (int instances : new int[] {3, 81}) {
      for (double abusiveShare : new double[] {0, 0.3, 1}) {
        var baseline = replay(false, instances, abusiveShare, filings, lookups);
        var limited = replay(true, instances, abusiveShare, filings, lookups);
        double share = limited.get(other).inTimeShare();
        String figures = instances + " instances: " + limited + ", baseline " + baseline;
        assertTrue(share >= MIN_OTHERS_IN_TIME, figures);
        assertTrue(share > baseline.get(other).inTimeShare(), figures);
        assertTrue(
            inTime(limited) >= MIN_CAPACITY_IN_TIME * PlainServiceReplay.BURST_CAPACITY, figures);
      }
    }
  }

  /** The clients come back when they are told, or some of them at once. */
  @ParameterizedTest
  @CsvSource({"3, 0", "81, 0", "81, 0.3", "81, 1"})
  void moreRequestsAreInTimeDuringBurstOfAllKinds(int instances, double abusiveShare) {
    var baseline = replay(false, instances, abusiveShare, 6, 6);
    var limited = replay(true, instances, abusiveShare, 6, 6);
    String figures = limited + ", baseline " + baseline;
    assertTrue(inTime(limited) > 1.2 * inTime(baseline), figures);
    assertTrue(
        inTime(limited) >= MIN_CAPACITY_IN_TIME * PlainServiceReplay.BURST_CAPACITY, figures);
  }

  /** A momentary queue may send a request back once, which is then still in time. */
  @Test
  void burstWithinTheCapacityIsServedInTime() {
    replay(true, 81, 0, 3, 3)
        .forEach(
            (kind, outcome) -> {
              assertEquals(0, outcome.rejectedTwice, kind);
              assertTrue(outcome.inTimeShare() >= 0.99, kind + " " + outcome);
            });
  }

  private static PlainServiceLimit limitWithQueue(int waiting) {
    PlainServiceLimit limit = PlainServiceLimit.create();
    limit.onValidResponse(40, new StatedLoad(6, 0, 6, OptionalInt.empty()));
    limit.onReport(new StatedLoad(6, waiting, 6, OptionalInt.empty()), 0);
    return limit;
  }

  private static PlainServiceLimit.Verdict decide(
      PlainServiceLimit limit, int priority, double remainingMillis, boolean isClientRetry) {
    return limit
        .decide(
            new PlainServiceLimit.Request("k", priority, 200, remainingMillis, isClientRetry, 1), 0)
        .verdict();
  }

  /** The expected wait is 140 ms, the slack 160 ms. */
  @Test
  void lessUrgentRequestsAreRejectedFirst() {
    assertEquals(PlainServiceLimit.Verdict.TAKE, decide(limitWithQueue(21), 0, 1_000, false));
    assertEquals(PlainServiceLimit.Verdict.TAKE, decide(limitWithQueue(21), 1, 1_000, false));
    assertEquals(PlainServiceLimit.Verdict.OVERLOAD, decide(limitWithQueue(21), 2, 1_000, false));
  }

  @Test
  void clientRetriesGoBeforeNewRequests() {
    assertEquals(PlainServiceLimit.Verdict.OVERLOAD, decide(limitWithQueue(26), 0, 1_000, false));
    assertEquals(PlainServiceLimit.Verdict.TAKE, decide(limitWithQueue(26), 0, 700, true));
    assertEquals(PlainServiceLimit.Verdict.OVERLOAD, decide(limitWithQueue(36), 0, 700, true));
  }

  @Test
  void whatCannotBeAnsweredBeforeItsDeadlineIsRejected() {
    assertEquals(PlainServiceLimit.Verdict.NO_TIME, decide(limitWithQueue(12), 0, 110, false));
    assertEquals(PlainServiceLimit.Verdict.TAKE, decide(limitWithQueue(12), 0, 130, false));
  }

  @Test
  void statedQueuesAreForgotten() {
    PlainServiceLimit limit = limitWithQueue(24);
    assertEquals(160, limit.waitMillis(0), 1);
    assertEquals(80, limit.waitMillis(Nanos.ofMillis(500)), 1);
    assertEquals(0, limit.waitMillis(Nanos.ofMillis(1_000)));
  }

  @Test
  void requestsBeyondTheUsualRateBelongToBurst() {
    UsualLoad load = UsualLoad.create();
    for (int i = 0; i < 100; i++) {
      assertTrue(load.onRequest(Nanos.ofMillis(i * 100)));
    }
    int within = 0;
    for (int i = 0; i < 500; i++) {
      within += load.onRequest(Nanos.ofMillis(10_000 + i * 10)) ? 1 : 0;
    }
    assertTrue(within > 55 && within < 110, within + " of 500 in 5 s, 10 a second are usual");
    assertFalse(load.onRequest(Nanos.ofMillis(15_000)));
  }
}
