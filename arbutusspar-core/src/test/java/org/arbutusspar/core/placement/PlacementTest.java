package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
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

  private static UpstreamReplica replica(int number, boolean leaving) {
    return new UpstreamReplica(
        "r" + number, "s", new Endpoint("10.0.0." + number, 80), HERE, 4, leaving, 0);
  }

  private static ReplicaBook book(int replicas) {
    List<UpstreamReplica> listed = new ArrayList<>();
    for (int i = 1; i <= replicas; i++) {
      listed.add(replica(i, false));
    }
    ReplicaBook book = ReplicaBook.create();
    book.replace(listed);
    return book;
  }

  private static PlacementRequest request(long key, long spread) {
    return new PlacementRequest("s", key, Set.of(), spread);
  }

  private static String choose(ReplicaBook book, Placement placement, long key, long spread) {
    return book.choose(request(key, spread), placement, 0).map(UpstreamReplica::id).orElse("none");
  }

  @Test
  void requestsWithTheSamePromptPartsGoToTheSameReplica() {
    ReplicaBook book = book(6);
    Placement placement = PromptAffinityPlacement.create();
    String first = choose(book, placement, 77, 1);
    for (int i = 0; i < 4; i++) {
      assertEquals(first, choose(book, placement, 77, i));
      book.onSent(book.find(first).orElseThrow());
    }
  }

  @Test
  void hotPromptSpillsOver() {
    ReplicaBook book = book(6);
    Placement placement = PromptAffinityPlacement.create();
    UpstreamReplica hot = book.find(choose(book, placement, 77, 1)).orElseThrow();
    for (int i = 0; i < 7; i++) {
      book.onSent(hot);
    }
    assertNotEquals(hot.id(), choose(book, placement, 77, 1));
  }

  @Test
  void leavingReplicasGetNothing() {
    ReplicaBook book = book(1);
    book.replace(List.of(replica(1, true), replica(2, false)));
    assertEquals("r2", choose(book, LeastLoadPlacement.create(), 0, 1));
    book.replace(List.of(replica(1, true), replica(2, true)));
    assertEquals("none", choose(book, LeastLoadPlacement.create(), 0, 1));
  }

  @Test
  void fullReplicasGetNothing() {
    ReplicaBook book = book(2);
    for (int i = 0; i < 8; i++) {
      book.onSent(replica(1, false));
      book.onReport(replica(2, false), 8, 0);
    }
    assertEquals("none", choose(book, LeastLoadPlacement.create(), 0, 1));
  }

  @Test
  void idleReplicasShareRequests() {
    ReplicaBook book = book(3);
    Set<String> chosen = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      chosen.add(choose(book, LeastLoadPlacement.create(), 0, i));
    }
    assertEquals(3, chosen.size());
  }

  @Test
  void brokenReplicaRestsButNotMostOfThem() {
    ReplicaBook book = book(3);
    book.onBroken(replica(1, false), 0);
    for (int i = 0; i < 40; i++) {
      assertNotEquals("r1", choose(book, LeastLoadPlacement.create(), 0, i));
    }
    book.onBroken(replica(2, false), 0);
    book.onBroken(replica(3, false), 0);
    assertNotEquals("none", choose(book, LeastLoadPlacement.create(), 0, 1));
  }

  @Test
  void replicasThatFailRequestsAreAvoided() {
    ReplicaBook book = book(2);
    for (int i = 0; i < 10; i++) {
      book.onFailedAnswer(replica(1, false));
    }
    for (int i = 0; i < 20; i++) {
      assertEquals("r2", choose(book, LeastLoadPlacement.create(), 0, i));
    }
  }

  /** Nine instances with skewed load stay within one budget together. */
  @Test
  void instancesTogetherStayWithinTheRetryBudget() {
    double ratio = 0.2;
    double slack = 58;
    List<WindowedRetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      budgets.add(WindowedRetryBudget.create(ratio, 10_000));
    }
    int requests = 0;
    int extras = 0;
    for (int millis = 0; millis < 20_000; millis += 10) {
      if (millis == 10_000) {
        requests = 0;
        extras = 0;
      }
      for (int i = 0; i < 9; i++) {
        if (i < 2 || millis % 500 == 0) {
          budgets.get(i).onRequest(Nanos.ofMillis(millis));
          requests++;
        }
        extras += budgets.get(i).tryTake(slack, 9, Nanos.ofMillis(millis)) ? 1 : 0;
      }
    }
    assertTrue(extras <= ratio * requests + slack, extras + " extras for " + requests);
    assertTrue(extras > 0.8 * ratio * requests, "the budget is used: " + extras);
  }

  @Test
  void budgetOfOneWindowComesBack() {
    WindowedRetryBudget budget = WindowedRetryBudget.create(0, 10_000);
    assertFalse(budget.tryTake(2, 1, 0), "an earlier life may have used this window");
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
  void whatMayHaveRunIsOnlyRepeatedWhereThatIsAllowed() {
    Route once = route(RouteKind.NON_IDEMPOTENT, 3, false);
    assertFalse(RepeatRules.mayRepeat(once, SendVerdict.UNKNOWN, 1));
    assertFalse(RepeatRules.mayRepeat(once, SendVerdict.FAILED, 1));
    assertTrue(RepeatRules.mayRepeat(once, SendVerdict.NOT_RUN, 1));
    assertTrue(RepeatRules.mayRepeat(once, SendVerdict.NOT_SENT, 1));
    Route stream = route(RouteKind.STREAM, 3, false);
    assertFalse(RepeatRules.mayRepeat(stream, SendVerdict.UNKNOWN, 1));
    Route often = route(RouteKind.IDEMPOTENT, 2, false);
    assertTrue(RepeatRules.mayRepeat(often, SendVerdict.UNKNOWN, 1));
    assertFalse(RepeatRules.mayRepeat(often, SendVerdict.UNKNOWN, 2));
    assertTrue(RepeatRules.needsBudget(1));
    assertFalse(RepeatRules.needsBudget(0));
  }
}
