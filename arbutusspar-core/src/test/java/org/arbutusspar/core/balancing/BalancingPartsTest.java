package org.arbutusspar.core.balancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.rng.simple.RandomSource;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.config.CostPrior;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.ReplicaId;
import org.junit.jupiter.api.Test;

/**
 * Guards the parts of replica selection: cost model, concurrency limit, retry budget, choosers,
 * prefix hints, replica state, rendezvous hashing and endpoints.
 */
class BalancingPartsTest {

  private static final DataCentre LOCAL = DataCentre.of("here");
  private static final DataCentre REMOTE = DataCentre.of("there");
  private static final LoadReport IDLE = new LoadReport(0, 0, false);

  /** Returns a replica with four slots, a fixed limit of 4 and an idle load report at time 0. */
  private static Replica replica(String id, DataCentre dataCentre) {
    ListedReplica listed =
        new ListedReplica(
            ReplicaId.of(id), ObjectName.of("s"), new Endpoint("127.0.0.1", 1), dataCentre, false);
    Replica replica = Replica.create(listed, FixedLimit.of(4), 4);
    replica.onReport(IDLE, 0);
    return replica;
  }

  private static SelectionContext context(long now) {
    return new SelectionContext(now, 100, LOCAL, 5, 1, Set.of());
  }

  private static PredictedFinishChooser chooser() {
    return PredictedFinishChooser.create(
        RandomSource.XO_RO_SHI_RO_128_PP.create(1), PrefixHints.create());
  }

  @Test
  void costModelStartsAtPriorAndFitsObservations() {
    LinearCostModel model = LinearCostModel.create(new CostPrior(10, 1, 0), 100);
    assertEquals(110, model.predictMillis(100), 1e-6);
    for (int i = 0; i < 500; i++) {
      int units = 10 + i % 200;
      model.observe(units, 50 + 3 * units);
    }
    assertEquals(350, model.predictMillis(100), 15);
    assertEquals(950, model.predictMillis(300), 60);
  }

  @Test
  void costModelNeverPredictsNegativeDuration() {
    LinearCostModel model = LinearCostModel.create(new CostPrior(0, 0, 0), 1);
    model.observe(10, 1);
    model.observe(1, 100);
    assertTrue(model.predictMillis(1_000) >= 0);
  }

  @Test
  void adaptiveLimitGrowsWhileCallsAreFastAndShrinksOnOverload() {
    AdaptiveLimit limit = AdaptiveLimit.create(2, 16);
    for (int i = 0; i < 20; i++) {
      limit.onSuccess(1, limit.current());
    }
    assertEquals(16, limit.current());
    limit.onOverload();
    limit.onOverload();
    assertEquals(7, limit.current());
    limit.onSuccess(1, 7);
    assertEquals(
        7, limit.current(), "after congestion, one fast call must not raise the limit by one");
    limit.onSuccess(5, 7);
    assertEquals(7, limit.current(), "slow calls must not raise the limit");
  }

  @Test
  void retryBudgetIsSpentByRetriesAndRefilledByFirstAttempts() {
    TokenRetryBudget budget = TokenRetryBudget.create(0.1, 2);
    assertTrue(budget.tryTake());
    assertTrue(budget.tryTake());
    assertFalse(budget.tryTake());
    for (int i = 0; i < 11; i++) {
      budget.onFirstAttempt();
    }
    assertTrue(budget.tryTake());
    assertFalse(budget.tryTake());
  }

  @Test
  void chooserPrefersTheReplicaThatFinishesFirst() {
    Replica slow = replica("slow", LOCAL);
    Replica fast = replica("fast", LOCAL);
    for (int i = 0; i < 20; i++) {
      slow.onSuccess(10);
    }
    for (int i = 0; i < 50; i++) {
      assertEquals(fast, chooser().choose(List.of(slow, fast), context(0)).orElseThrow());
    }
  }

  @Test
  void chooserTradesCrossDataCentreDelayAgainstLoad() {
    Replica local = replica("near", LOCAL);
    Replica remote = replica("far", REMOTE);
    assertEquals(local, chooser().choose(List.of(local, remote), context(0)).orElseThrow());
    for (int i = 0; i < 3; i++) {
      local.onSent();
    }
    assertEquals(remote, chooser().choose(List.of(local, remote), context(0)).orElseThrow());
  }

  @Test
  void chooserFindsTheOnlyEligibleReplicaOutsideItsSamples() {
    List<Replica> pool = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      Replica replica = replica("r" + i, LOCAL);
      replica.onListed(i != 37);
      pool.add(replica);
    }
    assertEquals(pool.get(37), chooser().choose(pool, context(0)).orElseThrow());
    pool.get(37).onListed(true);
    assertTrue(chooser().choose(pool, context(0)).isEmpty());
  }

  @Test
  void expectedSavingOfPrefixHintHalvesWithAge() {
    PrefixHints hints = PrefixHints.create();
    ReplicaId id = ReplicaId.of("r");
    hints.onServed(7, id, 0);
    assertEquals(0.3, hints.expectedSaving(7, id, 0), 1e-9);
    assertEquals(0.15, hints.expectedSaving(7, id, Nanos.ofMillis(30_000)), 1e-9);
    assertEquals(0, hints.expectedSaving(8, id, 0));
    hints.onDropped(7, id);
    assertTrue(hints.probableHolder(7, 0).isEmpty());
  }

  @Test
  void baselinesChooseOnlyEligibleReplicas() {
    Replica leaving = replica("leaving", LOCAL);
    leaving.onListed(true);
    Replica live = replica("live", LOCAL);
    List<ReplicaChooser> baselines =
        List.of(
            RandomChooser.create(RandomSource.XO_RO_SHI_RO_128_PP.create(1)),
            RoundRobinChooser.create(),
            LeastInFlightChooser.create());
    for (ReplicaChooser each : baselines) {
      assertEquals(live, each.choose(List.of(leaving, live), context(0)).orElseThrow());
    }
  }

  @Test
  void replicaIsEjectedAfterConsecutiveFailuresForLimitedTime() {
    Replica replica = replica("r", LOCAL);
    assertFalse(replica.onFailure(0));
    assertFalse(replica.onFailure(0));
    assertTrue(replica.onFailure(0));
    assertFalse(replica.isEligible(1));
    replica.onReport(IDLE, Nanos.ofMillis(2_500));
    assertTrue(replica.isEligible(Nanos.ofMillis(2_500)));
  }

  @Test
  void estimateOfOtherInstancesCallsHalvesWithReportAge() {
    Replica replica = replica("r", LOCAL);
    replica.onReport(new LoadReport(4, 4, false), 0);
    assertEquals(8, replica.othersInFlight(0), 1e-9);
    assertEquals(2, replica.othersInFlight(Nanos.ofMillis(2_000)), 1e-9);
  }

  @Test
  void removingOneItemChangesOneRendezvousChoice() {
    List<Integer> items = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      items.add(i);
    }
    Function<Integer, String> name = String::valueOf;
    List<Integer> before = Rendezvous.top(items, name, "x", 64);
    items.remove(before.get(10));
    List<Integer> after = Rendezvous.top(items, name, "x", 64);
    assertEquals(64, after.size());
    assertEquals(63, after.stream().filter(before::contains).count());
  }

  @Test
  void endpointRequiresIpAddressAndPort() {
    assertEquals("127.0.0.1:80", Endpoint.parse("127.0.0.1:80").toString());
    assertThrows(IllegalArgumentException.class, () -> Endpoint.parse("host:80"));
    assertThrows(IllegalArgumentException.class, () -> Endpoint.parse("127.0.0.1"));
    assertThrows(IllegalArgumentException.class, () -> Endpoint.parse("127.0.0.1:0"));
    assertThrows(IllegalArgumentException.class, () -> Endpoint.parse("127.0.0.1:x"));
  }
}
