package org.arbutusspar.core.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.stage.QueueWait;
import org.junit.jupiter.api.Test;

/**
 * Guards the table of peers: which instances are live, which of them holds a role such as batching
 * the pieces of a service, which queue wait is expected there, and which are offered to clients.
 */
class PeerTableTest {

  private static final DataCentre LOCAL = DataCentre.of("here");
  private static final DataCentre REMOTE = DataCentre.of("there");

  /** Returns instance {@code e<number>}; those with an even number are in the local data centre. */
  private static Peer peer(int number, long incarnation) {
    return new Peer(
        "e" + number,
        incarnation,
        number % 2 == 0 ? LOCAL : REMOTE,
        new Endpoint("10.0.0." + number, 7_000),
        new Endpoint("10.0.0." + number, 8_000),
        100);
  }

  private static StoreView view(long offset) {
    TableVersion version = new TableVersion(offset, offset);
    return new StoreView(false, 0, Map.of(TableName.CONFIGURATION, version));
  }

  private static PeerStatus status(boolean ready, boolean leaving, long offset) {
    return new PeerStatus(ready, leaving, 400, view(offset), Map.of(), Set.of());
  }

  /**
   * Returns the table of one instance with a number of live peers, whose heartbeats came at time 0.
   */
  private static PeerTable table(int self, int others) {
    PeerTable table = PeerTable.create(peer(self, 1), FullMeshTopology.create());
    table.ownStatus(status(true, false, 5));
    for (int i = 1; i <= others + 1; i++) {
      if (i != self) {
        table.discover(peer(i, 1));
        table.onHeartbeat("e" + i, status(true, false, 5), 0);
      }
    }
    return table;
  }

  /**
   * Links were closed in the middle of a large configuration, which then had to be sent again,
   * since heartbeats waited behind it. What the peer last said of the store still grows old.
   */
  @Test
  void peerWhoseHeartbeatsWaitBehindLargeMessageIsLive() {
    PeerTable table = table(1, 1);
    long now = Nanos.ofMillis(1_500);
    assertFalse(table.isLive("e2", now));
    table.onReceived("e2", Nanos.ofMillis(1_400));
    assertTrue(table.isLive("e2", now));
    assertEquals(Nanos.ofMillis(1_100), table.storeContactAge(now));
    assertFalse(table.isLive("e2", Nanos.ofMillis(2_500)));
  }

  @Test
  void instancesThatKnowTheSamePeersAgreeOnTheBatcher() {
    Set<String> chosen = new HashSet<>();
    for (int self = 1; self <= 6; self++) {
      chosen.add(table(self, 5).roleHolder("entregas", 0));
    }
    assertEquals(1, chosen.size());
  }

  /** Returns the name of a service that is batched by another instance than {@code e1}. */
  private static String serviceBatchedElsewhere(PeerTable table) {
    return IntStream.range(0, 100)
        .mapToObj(i -> "s" + i)
        .filter(service -> !table.roleHolder(service, 0).equals("e1"))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void leavingDisconnectedAndTimedOutPeersDoNotBatch() {
    PeerTable table = table(1, 5);
    String service = serviceBatchedElsewhere(table);
    String batcher = table.roleHolder(service, 0);
    table.onHeartbeat(batcher, status(true, true, 5), 0);
    assertNotEquals(batcher, table.roleHolder(service, 0));
    table.onHeartbeat(batcher, status(true, false, 5), 0);
    assertEquals(batcher, table.roleHolder(service, 0));
    table.onDown(batcher, true, 0);
    assertNotEquals(batcher, table.roleHolder(service, 0));
    assertEquals(
        "e1",
        table.roleHolder(service, Nanos.ofMillis(1_001)),
        "the heartbeats of all peers have timed out");
  }

  @Test
  void clientsGetTheirDataCentreFirstAndNoLeavingInstance() {
    PeerTable table = table(1, 5);
    List<Peer> offered = table.forClients(LOCAL, 0);
    assertEquals(6, offered.size());
    assertEquals(LOCAL, offered.get(0).dataCentre());
    table.onHeartbeat("e2", status(true, true, 5), 0);
    table.onHeartbeat("e4", status(false, false, 5), 0);
    assertEquals(4, table.forClients(LOCAL, 0).size());
    table.ownStatus(status(true, true, 5));
    assertFalse(PeerTable.names(table.forClients(LOCAL, 0)).contains("e1"));
  }

  @Test
  void onlyLaterIncarnationReplacesKnownOne() {
    PeerTable table = table(1, 1);
    assertTrue(table.discover(peer(2, 2)));
    assertFalse(table.discover(peer(2, 1)));
    assertFalse(table.isLive("e2", 0), "no heartbeat of the new incarnation has arrived");
  }

  @Test
  void aheadOfReturnsLivePeersWithTheLatestChange() {
    PeerTable table = table(1, 4);
    assertEquals(List.of(), table.aheadOf(TableName.CONFIGURATION, 5, 0));
    table.onHeartbeat("e2", status(true, false, 7), 0);
    table.onHeartbeat("e3", status(true, false, 9), 0);
    table.onHeartbeat("e4", status(true, false, 9), 0);
    assertEquals(
        List.of("e3", "e4"), PeerTable.names(table.aheadOf(TableName.CONFIGURATION, 5, 0)));
    assertEquals(List.of(), table.aheadOf(TableName.CONFIGURATION, 9, 0));
    assertEquals(List.of(), table.aheadOf(TableName.CONFIGURATION, 5, Nanos.ofMillis(1_001)));
  }

  private static PeerStatus statusWithRole(boolean leaving, String role) {
    return new PeerStatus(true, leaving, 400, view(5), Map.of(), Set.of(role));
  }

  /**
   * Guards against a second move of a role in a rolling restart: the former holder restarts while
   * its successor holds the role.
   */
  @Test
  void roleStaysWithItsHolderUntilThatLeaves() {
    PeerTable table = table(1, 5);
    String service = serviceBatchedElsewhere(table);
    String first = table.roleHolder(service, 0);
    table.onDown(first, true, 0);
    String second = table.roleHolder(service, 0);
    if (second.equals("e1")) {
      table.ownStatus(statusWithRole(false, service));
    } else {
      table.onHeartbeat(second, statusWithRole(false, service), 0);
    }
    table.onHeartbeat(first, status(true, false, 5), 0);
    assertEquals(second, table.roleHolder(service, 0));
    if (second.equals("e1")) {
      table.ownStatus(statusWithRole(true, service));
    } else {
      table.onHeartbeat(second, statusWithRole(true, service), 0);
    }
    assertEquals(first, table.roleHolder(service, 0));
  }

  @Test
  void instancesAgreeOnOneOfSeveralHolders() {
    Set<String> chosen = new HashSet<>();
    for (int self = 1; self <= 6; self++) {
      PeerTable table = table(self, 5);
      for (int holder : new int[] {2, 5}) {
        if (holder == self) {
          table.ownStatus(statusWithRole(false, "x"));
        } else {
          table.onHeartbeat("e" + holder, statusWithRole(false, "x"), 0);
        }
      }
      chosen.add(table.roleHolder("x", 0));
    }
    assertEquals(1, chosen.size());
    assertTrue(Set.of("e2", "e5").containsAll(chosen));
  }

  /**
   * Guards against admission with an outdated queue wait: the batcher has failed without notice,
   * and its queue grows although no heartbeat reports it.
   */
  @Test
  void queueWaitGrowsWithTimeSinceHeartbeatOfTheBatcher() {
    PeerTable table = table(1, 5);
    String service = serviceBatchedElsewhere(table);
    Map<String, QueueWait> waits = Map.of(service, new QueueWait(300, 900));
    table.onHeartbeat(
        table.roleHolder(service, 0),
        new PeerStatus(true, false, 400, view(5), waits, Set.of(service)),
        0);
    assertEquals(300, table.queueWait(service, Nanos.ofMillis(400)).millis(false));
    assertEquals(700, table.queueWait(service, Nanos.ofMillis(900)).millis(false));
  }

  @Test
  void queueWaitOfFormerBatcherIsUsedForLimitedTime() {
    PeerTable table = table(1, 5);
    String service = serviceBatchedElsewhere(table);
    String first = table.roleHolder(service, 0);
    Map<String, QueueWait> waits = Map.of(service, new QueueWait(300, 900));
    table.onHeartbeat(first, new PeerStatus(true, false, 400, view(5), waits, Set.of(service)), 0);
    table.onDown(first, true, 0);
    assertNotEquals(first, table.roleHolder(service, 0));
    assertEquals(500, table.queueWait(service, Nanos.ofMillis(200)).millis(false));
    assertEquals(0, table.queueWait(service, Nanos.ofMillis(3_500)).millis(false));
  }

  @Test
  void queueWaitIsThatOfTheBatcher() {
    PeerTable table = table(1, 5);
    String batcher = table.roleHolder("x", 0);
    Map<String, QueueWait> waits = Map.of("x", new QueueWait(300, 900));
    PeerStatus status = new PeerStatus(true, false, 400, view(5), waits, Set.of());
    if (batcher.equals("e1")) {
      table.ownStatus(status);
    } else {
      table.onHeartbeat(batcher, status, 0);
    }
    assertEquals(300, table.queueWait("x", 0).millis(false));
    assertEquals(900, table.queueWait("x", 0).millis(true));
    assertEquals(0, table.queueWait("unknown", 0).millis(true));
  }
}
