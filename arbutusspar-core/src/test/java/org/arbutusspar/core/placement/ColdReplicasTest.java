package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.routing.WarmUp;
import org.junit.jupiter.api.Test;

class ColdReplicasTest {

  private static final long WARM_UP_MILLIS = 3_000;

  private final ColdReplicas cold = ColdReplicas.create();

  ColdReplicasTest() {
    cold.warmUps(Map.of("s", new WarmUp(WARM_UP_MILLIS, 10)), 0);
    cold.onListed(List.of(replica("old", 1, 0)), 0);
  }

  private static UpstreamReplica replica(String id, long startedMillis, long warmUpMillis) {
    return new UpstreamReplica(
            id, "s", new Endpoint("10.0.0.1", 80), DataCentre.of("a"), 8, false, startedMillis)
        .withWarmUp(warmUpMillis);
  }

  private static long millis(long millis) {
    return Nanos.ofMillis(millis);
  }

  private void list(long atMillis, UpstreamReplica... listed) {
    cold.onListed(List.of(listed), millis(atMillis));
  }

  private boolean isCold(UpstreamReplica replica, long atMillis) {
    cold.update(millis(atMillis));
    return cold.isCold(replica);
  }

  /** A whole deployment starts: its replicas have run for long and say so. */
  @Test
  void replicasOfTheFirstListAreBelieved() {
    assertEquals(0, cold.count());
    ColdReplicas later = ColdReplicas.create();
    later.onListed(List.of(), 0);
    later.onListed(List.of(replica("old", 1, 0), replica("new", 2, 2_000)), 0);
    assertEquals(0, later.count(), "the warm-up of the service is not known");
    later.warmUps(Map.of("s", new WarmUp(WARM_UP_MILLIS, 10)), 0);
    assertFalse(later.isCold(replica("old", 1, 0)));
    assertTrue(later.isCold(replica("new", 2, 0)));
  }

  @Test
  void replicaIsColdForTheTimeItStates() {
    list(1_000, replica("old", 1, 2_000));
    assertTrue(isCold(replica("old", 1, 0), 2_999));
    assertFalse(isCold(replica("old", 1, 0), 3_000));
  }

  /** The list is applied again whenever any other replica's entry changes. */
  @Test
  void repeatedStatementDoesNotExtendTheTime() {
    list(1_000, replica("old", 1, 2_000));
    list(2_500, replica("old", 1, 2_000));
    list(2_600, replica("old", 1, 1_200));
    assertFalse(isCold(replica("old", 1, 0), 3_000));
    list(4_000, replica("old", 1, 1_200));
    assertFalse(isCold(replica("old", 1, 0), 4_000));
    list(5_000, replica("old", 1, 2_900));
    assertTrue(isCold(replica("old", 1, 0), 7_000));
  }

  /** Heartbeats that state less time are not passed on, nor need be the one that says warm. */
  @Test
  void replicaThatIsColdAgainIsSeenAfterOneEntry() {
    list(1_000, replica("old", 1, 5_900));
    list(7_000, replica("old", 1, 5_000));
    assertTrue(isCold(replica("old", 1, 0), 11_999));
    assertFalse(isCold(replica("old", 1, 0), 12_000));
  }

  @Test
  void laterEntryThatSaysWarmEndsTheStatement() {
    list(1_000, replica("old", 1, 2_000));
    list(1_500, replica("old", 1, 0));
    assertFalse(isCold(replica("old", 1, 0), 1_500));
  }

  /** The first entry of a restarted replica may say that it is warm. */
  @Test
  void newIncarnationIsColdForTheWarmUpWhateverItSays() {
    for (UpstreamReplica started : List.of(replica("new", 1, 0), replica("old", 2, 0))) {
      list(1_000, started);
      assertTrue(isCold(started, 3_999));
      assertFalse(isCold(started, 4_000));
    }
  }

  /** Entries expire while the store is away or a replica is cut off from it. */
  @Test
  void incarnationThatIsListedAgainIsNotNew() {
    list(1_000, replica("other", 1, 0));
    list(9_000, replica("old", 1, 0), replica("other", 1, 0));
    assertFalse(isCold(replica("old", 1, 0), 9_000));
    list(10_000, replica("unknown", 0, 0));
    list(20_000, replica("old", 1, 0));
    list(21_000, replica("unknown", 0, 0));
    assertTrue(isCold(replica("unknown", 0, 0), 21_000), "it may have been restarted");
  }

  /** The list may be older than the cause of the assumption. */
  @Test
  void assumptionIsNotEndedByTheList() {
    assertEquals(1, cold.assumeCold(List.of(replica("old", 1, 0)), millis(1_000)).cold().size());
    list(1_500, replica("old", 1, 700));
    list(2_000, replica("old", 1, 0));
    assertTrue(isCold(replica("old", 1, 0), 3_999));
    assertEquals(1, cold.update(millis(4_000)).warm().size());
    assertTrue(cold.update(millis(5_000)).isEmpty());
  }

  @Test
  void replicaOfServiceWithoutWarmUpIsNeverCold() {
    UpstreamReplica plain =
        new UpstreamReplica(
            "p", "plain", new Endpoint("10.0.0.2", 80), DataCentre.of("a"), 8, false, 1);
    list(1_000, plain.withWarmUp(5_000));
    cold.assumeCold(List.of(plain), millis(1_000));
    assertFalse(isCold(plain, 1_000));
  }
}
