package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.routing.WarmUp;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ReplicaRateLimitsTest {

  private static final UpstreamReplica REPLICA =
      new UpstreamReplica("r1", "s", new Endpoint("10.0.0.1", 80), DataCentre.of("a"), 8, false, 1);

  private static final double WINDOW_SECONDS = 4;

  private static ReplicaRateLimits limits(double share) {
    return ReplicaRateLimits.create((service, now) -> share);
  }

  private static long millis(long millis) {
    return Nanos.ofMillis(millis);
  }

  /** Returns how many requests the users' rule allows in four seconds. */
  private static double allowed(double perSecond) {
    return 1.5 * perSecond * WINDOW_SECONDS + 5;
  }

  /** Tries to send at an interval and returns the times of the requests that got a permit. */
  private static List<Long> sendAt(ReplicaRateLimits limits, long from, long until, long interval) {
    List<Long> sent = new ArrayList<>();
    for (long now = from; now < until; now += interval) {
      if (limits.isAvailable(REPLICA, now)) {
        limits.take(REPLICA, now);
        sent.add(now);
      }
    }
    return sent;
  }

  private static int mostInWindow(List<Long> times) {
    List<Long> sorted = times.stream().sorted().toList();
    int most = 0;
    int first = 0;
    for (int last = 0; last < sorted.size(); last++) {
      while (sorted.get(last) - sorted.get(first) >= millis(4_000)) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.5, 1, 1.7, 10, 120, 500})
  void limitIsKeptAndUsedUnderSteadyDemand(double perSecond) {
    ReplicaRateLimits limits = limits(1);
    limits.onStated(REPLICA, perSecond, 0);
    List<Long> sent = sendAt(limits, 0, millis(60_000), millis(1));
    assertTrue(mostInWindow(sent) <= allowed(perSecond), mostInWindow(sent) + " in 4 s");
    assertTrue(sent.size() >= 0.85 * perSecond * 60, sent.size() + " sent");
  }

  /** A first request after an idle time is not turned away. */
  @Test
  void permitIsKeptWhileThereIsNoDemand() {
    ReplicaRateLimits limits = limits(1);
    limits.onStated(REPLICA, 0.1, 0);
    assertFalse(limits.isAvailable(REPLICA, millis(1)));
    assertTrue(limits.isAvailable(REPLICA, millis(10_000)));
    limits.take(REPLICA, millis(10_000));
    assertEquals(
        OptionalLong.of(millis(10_000)),
        roundedToMillis(limits.nanosUntilAvailable(REPLICA, millis(10_000))));
    assertFalse(limits.isAvailable(REPLICA, millis(10_001)));
  }

  private static OptionalLong roundedToMillis(OptionalLong nanos) {
    return OptionalLong.of(millis(Math.round(Nanos.toMillis(nanos.orElseThrow()))));
  }

  /** Replays parts of a partitioned deployment that all use the limit as much as they may. */
  @ParameterizedTest
  @CsvSource({"0.5", "1", "1.7", "20", "500"})
  void partsOfPartitionedDeploymentKeepTheSum(double perSecond) {
    for (double[] shares :
        new double[][] {
          {1},
          {0.5, 0.5},
          {0.7, 0.3},
          {2.0 / 3, 1.0 / 3},
          {0.4, 0.35, 0.25},
          {0.2, 0.2, 0.2, 0.2, 0.2},
          {0.79, 0.21},
          {0.9, 0.05, 0.05}
        }) {
      List<Long> sent = new ArrayList<>();
      for (double share : shares) {
        ReplicaRateLimits limits = limits(share);
        limits.onStated(REPLICA, perSecond, 0);
        // All parts have saved as many permits as they may when everyone comes at once.
        sent.addAll(sendAt(limits, millis(30_000), millis(40_000), millis(1)));
      }
      assertTrue(
          mostInWindow(sent) <= allowed(perSecond),
          mostInWindow(sent) + " in 4 s with " + shares.length + " parts");
    }
  }

  /** In a deployment of many instances that cannot reach each other, each is alone. */
  @Test
  void instanceThatKnowsTooFewOthersGivesNoPermits() {
    ReplicaRateLimits limits = limits(1.0 / 95);
    limits.onStated(REPLICA, 100, 0);
    assertEquals(OptionalLong.empty(), limits.nanosUntilAvailable(REPLICA, millis(60_000)));
  }

  /** Three holders of the role follow each other within a window, each with unused permits. */
  @ParameterizedTest
  @ValueSource(doubles = {0.5, 1.7, 50})
  void handoversOfTheDecisionKeepTheSum(double perSecond) {
    int[] holder = {0};
    List<ReplicaRateLimits> instances = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      int number = i;
      ReplicaRateLimits limits =
          ReplicaRateLimits.create((service, now) -> holder[0] == number ? 1 : 0);
      limits.onStated(REPLICA, perSecond, 0);
      instances.add(limits);
    }
    List<Long> sent = new ArrayList<>();
    for (long now = millis(20_000); now < millis(40_000); now += millis(1)) {
      holder[0] = (int) (now / millis(1_400)) % instances.size();
      for (ReplicaRateLimits limits : instances) {
        sent.addAll(sendAt(limits, now, now + 1, 1));
      }
    }
    assertTrue(mostInWindow(sent) <= allowed(perSecond), mostInWindow(sent) + " in 4 s");
  }

  @Test
  void changingLimitKeepsTheSumOfEachWindow() {
    Random random = new Random(7);
    ReplicaRateLimits limits = limits(1);
    List<Long> sent = new ArrayList<>();
    List<Double> stated = new ArrayList<>();
    for (long now = 0; now < millis(60_000); now += millis(100)) {
      double perSecond = 0.5 + random.nextDouble() * random.nextInt(500);
      stated.add(perSecond);
      limits.onStated(REPLICA, perSecond, now);
      sent.addAll(sendAt(limits, now, now + millis(100), millis(1)));
    }
    for (int first = 0; first + 40 < stated.size(); first++) {
      long from = millis(100L * first);
      long count = sent.stream().filter(t -> t >= from && t - from < millis(4_000)).count();
      double sum = stated.subList(first, first + 40).stream().mapToDouble(s -> s * 0.1).sum();
      assertTrue(count <= 1.5 * sum + 5 + 250, count + " sent, limits allow " + sum);
    }
  }

  @Test
  void limitEndsByResponseToLaterRequestOnly() {
    ReplicaRateLimits limits = limits(1);
    limits.onStated(REPLICA, 1, 1_000);
    assertFalse(limits.onNoneStated(REPLICA, 999, 2_000));
    assertTrue(limits.isLimited(REPLICA));
    assertTrue(limits.onNoneStated(REPLICA, 1_001, 3_000));
    assertFalse(limits.isLimited(REPLICA));
    assertTrue(limits.isAvailable(REPLICA, 3_000));
    assertFalse(limits.onNoneStated(REPLICA, 3_500, 4_000));
  }

  /** The end of a limit of 0 could not be found without any request. */
  @Test
  void limitOfZeroLetsRequestsPassNowAndThen() {
    ReplicaRateLimits limits = limits(1);
    limits.onStated(REPLICA, 0, 0);
    assertEquals(3, sendAt(limits, 0, millis(61_000), millis(10)).size());
  }

  @Test
  void limitOfAnotherIncarnationDoesNotApply() {
    ReplicaRateLimits limits = limits(1);
    limits.onStated(REPLICA, 1, 0);
    UpstreamReplica successor =
        new UpstreamReplica("r1", "s", REPLICA.endpoint(), REPLICA.dataCentre(), 8, false, 2);
    assertTrue(limits.isAvailable(successor, 1));
    assertTrue(limits.isAnyLimited(List.of(successor, REPLICA)));
    assertEquals(OptionalDouble.empty(), limits.totalPerSecond(List.of(successor, REPLICA)));
    assertEquals(OptionalDouble.of(1), limits.totalPerSecond(List.of(REPLICA)));
  }

  @Test
  void newestStatementCountsAmongPeers() {
    ReplicaRateLimits limits = limits(1);
    StatedLimit stated = new StatedLimit(REPLICA.incarnation(), OptionalDouble.of(2), 1_000);
    StatedLimit ended = new StatedLimit(REPLICA.incarnation(), OptionalDouble.empty(), 2_000);
    assertTrue(limits.learn(stated));
    assertFalse(limits.learn(stated));
    assertTrue(limits.learn(ended));
    assertFalse(limits.learn(stated));
    assertEquals(List.of(), limits.inForce());
    assertTrue(limits.onStated(REPLICA, 3, 3_000));
    assertEquals(1, limits.inForce().size());
  }

  /** A replica that changes its limit with each response must not cause a message for each. */
  @Test
  void announcementsOfChangesAreBounded() {
    ReplicaRateLimits limits = limits(1);
    int announced = 0;
    for (int i = 0; i < 1_000; i++) {
      announced += limits.onStated(REPLICA, 1 + i % 7, millis(i)) ? 1 : 0;
    }
    assertTrue(announced >= 9 && announced <= 11, announced + " announcements in a second");
    assertTrue(limits.onStated(REPLICA, 20, millis(2_000)));
    assertFalse(limits.onStated(REPLICA, 20, millis(3_000)));
  }

  /** A cold replica may state a limit as well; each request needs a permit of both. */
  @Test
  void lowestLimitOfColdReplicaBinds() {
    ColdReplicas cold = ColdReplicas.create();
    cold.warmUps(Map.of("s", new WarmUp(10_000, 10)), 0);
    cold.onListed(List.of(REPLICA.withWarmUp(10_000)), 0);
    ReplicaRateLimits limits =
        ReplicaRateLimits.create((service, now) -> 1, cold, new ColdBound(1.5, 5));
    assertTrue(limits.isAnyLimited(List.of(REPLICA)));
    assertEquals(OptionalDouble.of(10), limits.perSecond(REPLICA));
    assertEquals(20, sendAt(limits, 0, millis(2_000), millis(1)).size(), 1);
    limits.onStated(REPLICA, 2, millis(2_000));
    assertEquals(OptionalDouble.of(2), limits.perSecond(REPLICA));
    assertEquals(8, sendAt(limits, millis(2_000), millis(6_000), millis(1)).size(), 1);
    limits.onNoneStated(REPLICA, millis(6_000), millis(6_000));
    assertEquals(10, sendAt(limits, millis(6_000), millis(7_000), millis(1)).size(), 2);
    cold.update(millis(10_000));
    assertFalse(limits.isAnyLimited(List.of(REPLICA)));
    assertEquals(100, sendAt(limits, millis(10_000), millis(10_100), millis(1)).size());
  }

  /** The bound is kept also if it is below what the replica states that it takes. */
  @ParameterizedTest
  @CsvSource({"1.5, 5, 10", "1, 0, 10", "1.5, 5, 0.5", "1.2, 3, 400", "0.5, 1, 50"})
  void permitsForColdReplicaLeaveRoomForOtherParts(double ratio, double allowance, double rate) {
    ColdBound bound = new ColdBound(ratio, allowance);
    WarmUp warmUp = new WarmUp(3_000, rate);
    double parts = 4.0 / 3 * bound.permitsPerSecond(warmUp);
    assertTrue(bound.permitsPerSecond(warmUp) <= rate);
    assertTrue(parts + bound.burst(warmUp) <= bound.perWindow(warmUp) + 1e-9);
  }
}
