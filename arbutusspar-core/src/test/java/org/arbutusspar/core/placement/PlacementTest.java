package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.routing.Route;
import org.arbutusspar.core.routing.RouteKind;
import org.arbutusspar.core.routing.WeightedService;
import org.junit.jupiter.api.Test;

class PlacementTest {

  private static final DataCentre HERE = DataCentre.of("here");

  private static UpstreamReplica replica(int replicaNumber, boolean leaving) {
    return new UpstreamReplica(
        "r" + replicaNumber, "s", new Endpoint("10.0.0." + replicaNumber, 80), HERE, 4, leaving, 0);
  }

  private static ReplicaRegistry registry(int replicas) {
    List<UpstreamReplica> listed = new ArrayList<>();
    for (int i = 1; i <= replicas; i++) {
      listed.add(replica(i, false));
    }
    ReplicaRegistry registry = ReplicaRegistry.create();
    registry.replace(listed);
    return registry;
  }

  private static PlacementRequest request(long promptKey, long tieBreaker) {
    return new PlacementRequest("s", promptKey, Set.of(), true, tieBreaker);
  }

  private static String choose(
      ReplicaRegistry registry, Placement placement, long promptKey, long tieBreaker) {
    return registry
        .choose(request(promptKey, tieBreaker), placement, 0)
        .map(UpstreamReplica::id)
        .orElse("none");
  }

  @Test
  void requestsWithTheSamePromptKeyGoToTheSameReplica() {
    ReplicaRegistry registry = registry(6);
    Placement placement = PromptAffinityPlacement.create();
    String first = choose(registry, placement, 77, 1);
    for (int i = 0; i < 4; i++) {
      assertEquals(first, choose(registry, placement, 77, i));
      registry.onSent(registry.find(first).orElseThrow());
    }
  }

  @Test
  void promptKeyMovesToAnotherReplicaWhenItsReplicaIsOverloaded() {
    ReplicaRegistry registry = registry(6);
    Placement placement = PromptAffinityPlacement.create();
    UpstreamReplica hot = registry.find(choose(registry, placement, 77, 1)).orElseThrow();
    for (int i = 0; i < 7; i++) {
      registry.onSent(hot);
    }
    assertNotEquals(hot.id(), choose(registry, placement, 77, 1));
  }

  @Test
  void leavingReplicasAreNotChosen() {
    ReplicaRegistry registry = registry(1);
    registry.replace(List.of(replica(1, true), replica(2, false)));
    assertEquals("r2", choose(registry, LeastLoadPlacement.create(), 0, 1));
    registry.replace(List.of(replica(1, true), replica(2, true)));
    assertEquals("none", choose(registry, LeastLoadPlacement.create(), 0, 1));
  }

  @Test
  void replicasAtCapacityAreNotChosen() {
    ReplicaRegistry registry = registry(2);
    for (int i = 0; i < 8; i++) {
      registry.onSent(replica(1, false));
      registry.onReport(replica(2, false), new StatedLoad(8, 0, 4, OptionalInt.empty()), 0);
    }
    assertEquals("none", choose(registry, LeastLoadPlacement.create(), 0, 1));
  }

  @Test
  void tiesAreBrokenAcrossIdleReplicas() {
    ReplicaRegistry registry = registry(3);
    Set<String> chosen = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      chosen.add(choose(registry, LeastLoadPlacement.create(), 0, i));
    }
    assertEquals(3, chosen.size());
  }

  @Test
  void coolingDownReplicasAreSkippedUnlessTheyAreTheMajority() {
    ReplicaRegistry registry = registry(3);
    registry.onNoResponse(replica(1, false), 0, 0);
    for (int i = 0; i < 40; i++) {
      assertNotEquals("r1", choose(registry, LeastLoadPlacement.create(), 0, i));
    }
    registry.onNoResponse(replica(2, false), 0, 0);
    registry.onNoResponse(replica(3, false), 0, 0);
    assertNotEquals("none", choose(registry, LeastLoadPlacement.create(), 0, 1));
  }

  @Test
  void replicasWithFailureResponsesAreAvoided() {
    ReplicaRegistry registry = registry(2);
    for (int i = 0; i < 10; i++) {
      registry.onFailureResponse(replica(1, false));
    }
    for (int i = 0; i < 20; i++) {
      assertEquals("r2", choose(registry, LeastLoadPlacement.create(), 0, i));
    }
  }

  /**
   * Guards against exceeding the shared retry budget when load is skewed: nine instances, two of
   * which get most of the requests, try to retry at every step.
   */
  @Test
  void instancesTogetherStayWithinTheSharedRetryBudget() {
    double ratio = 0.2;
    double allowance = 58;
    List<WindowedRetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      budgets.add(WindowedRetryBudget.create(ratio, 10_000));
    }
    int requests = 0;
    int retries = 0;
    for (int millis = 0; millis < 20_000; millis += 10) {
      if (millis == 10_000) {
        requests = 0;
        retries = 0;
      }
      for (int i = 0; i < 9; i++) {
        if (i < 2 || millis % 500 == 0) {
          budgets.get(i).onRequest(Nanos.ofMillis(millis));
          requests++;
        }
        retries += budgets.get(i).tryTake(allowance, 9, Nanos.ofMillis(millis)) ? 1 : 0;
      }
    }
    assertTrue(retries <= ratio * requests + allowance, retries + " retries for " + requests);
    assertTrue(retries > 0.8 * ratio * requests, "most of the budget must be usable: " + retries);
  }

  @Test
  void allowanceIsAvailableAfterTheFirstWindowAndAgainAfterEachWindow() {
    WindowedRetryBudget budget = WindowedRetryBudget.create(0, 10_000);
    assertFalse(budget.tryTake(2, 1, 0), "retries before a restart may count in this window");
    assertTrue(budget.tryTake(2, 1, Nanos.ofMillis(10_000)));
    assertFalse(budget.tryTake(2, 1, Nanos.ofMillis(19_900)));
    assertTrue(budget.tryTake(2, 1, Nanos.ofMillis(20_600)));
  }

  private static Route route(RouteKind kind, int attempts, boolean resumable) {
    return new Route(
        "r",
        "h",
        "/",
        kind,
        1_000,
        100,
        0,
        List.of(new WeightedService("s", 1)),
        attempts,
        List.of(),
        false,
        resumable);
  }

  @Test
  void requestsThatMayHaveRunAreRetriedOnlyOnRetryableRoutes() {
    Route nonIdempotent = route(RouteKind.NON_IDEMPOTENT, 3, false);
    assertFalse(RetryRules.mayRetry(nonIdempotent, SendVerdict.UNKNOWN, 1));
    assertFalse(RetryRules.mayRetry(nonIdempotent, SendVerdict.FAILED, 1));
    assertTrue(RetryRules.mayRetry(nonIdempotent, SendVerdict.NOT_RUN, 1));
    assertTrue(RetryRules.mayRetry(nonIdempotent, SendVerdict.NOT_SENT, 1));
    Route stream = route(RouteKind.STREAM, 3, false);
    assertFalse(RetryRules.mayRetry(stream, SendVerdict.UNKNOWN, 1));
    Route idempotent = route(RouteKind.IDEMPOTENT, 2, false);
    assertTrue(RetryRules.mayRetry(idempotent, SendVerdict.UNKNOWN, 1));
    assertFalse(RetryRules.mayRetry(idempotent, SendVerdict.UNKNOWN, 2));
    assertTrue(RetryRules.needsRetryBudget(1));
    assertFalse(RetryRules.needsRetryBudget(0));
  }
}
