package org.arbutusspar.core.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.junit.jupiter.api.Test;

/**
 * Guards that the calls to the store do not grow with the number of instances, and that each
 * instance still learns of changes when readers fail or the store rejects them.
 */
class FewInstancesReadTest {

  private static final StoreReaders READERS = FewInstancesRead.create();

  /** Instances with even numbers have the larger machines. */
  private static Peer peer(int number) {
    return new Peer(
        "e" + number,
        1,
        DataCentre.of("a"),
        new Endpoint("10.0.0.1", 7_000 + number),
        new Endpoint("10.0.0.1", 8_000 + number),
        number % 2 == 0 ? 150 : 36);
  }

  private static PeerStatus status(boolean unreachable, long contactAgeMillis) {
    StoreView view = new StoreView(unreachable, contactAgeMillis, Map.of());
    return new PeerStatus(true, false, 400, view, Map.of(), Set.of());
  }

  /** Returns the table of each instance by its name; the given instances cannot reach the store. */
  private static Map<String, PeerTable> tables(int count, Set<String> unreachable) {
    Map<String, PeerTable> tables = new HashMap<>();
    for (int self = 1; self <= count; self++) {
      PeerTable table = PeerTable.create(peer(self), FullMeshTopology.create());
      table.ownStatus(status(unreachable.contains("e" + self), 0));
      for (int other = 1; other <= count; other++) {
        if (other != self) {
          boolean rejected = unreachable.contains("e" + other);
          table.discover(peer(other));
          table.onHeartbeat("e" + other, status(rejected, rejected ? 9_000 : 0), 0);
        }
      }
      tables.put("e" + self, table);
    }
    return tables;
  }

  private static Set<String> readers(Map<String, PeerTable> tables, StoreRole role, long now) {
    Set<String> readers = new TreeSet<>();
    tables.forEach(
        (name, table) -> {
          if (READERS.role(table, now) == role) {
            readers.add(name);
          }
        });
    return readers;
  }

  /** Compares with the baseline, whose readers grow with the instances. */
  @Test
  void sameNumberReadsAtAnySize() {
    for (int count : new int[] {9, 95, 300}) {
      Map<String, PeerTable> tables = tables(count, Set.of());
      assertEquals(FewInstancesRead.READERS, readers(tables, StoreRole.READER, 0).size());
      assertEquals(Set.of(), readers(tables, StoreRole.FALLBACK, 0));
      EveryInstanceReads baseline = EveryInstanceReads.create();
      assertTrue(tables.values().stream().allMatch(t -> baseline.role(t, 0) == StoreRole.READER));
    }
  }

  @Test
  void instancesWithLargeMachinesRead() {
    for (String name : readers(tables(95, Set.of()), StoreRole.READER, 0)) {
      assertEquals(0, Integer.parseInt(name.substring(1)) % 2);
    }
  }

  @Test
  void instancesThatReachTheStoreReplaceThoseThatDoNot() {
    Set<String> before = readers(tables(95, Set.of()), StoreRole.READER, 0);
    Map<String, PeerTable> tables = tables(95, before);
    Set<String> after = new HashSet<>(readers(tables, StoreRole.READER, 0));
    assertTrue(after.containsAll(before), "they keep trying");
    after.removeAll(before);
    assertEquals(FewInstancesRead.READERS, after.size());
    assertNotEquals(before, after);
  }

  /** Returns an instance whose peers all had their last contact at time 0, when they sent it. */
  private static PeerTable tableWithContactAt0(
      int count, long heartbeatMillis, long contactAgeMillis) {
    PeerTable table = PeerTable.create(peer(count), HubTopology.create());
    StoreView view = new StoreView(false, contactAgeMillis, Map.of());
    for (int other = 1; other < count; other++) {
      table.discover(peer(other));
      table.onHeartbeat(
          "e" + other, new PeerStatus(true, false, heartbeatMillis, view, Map.of(), Set.of()), 0);
    }
    return table;
  }

  @Test
  void everyInstanceReadsOnceNoPeerHasHadContactForLong() {
    PeerTable table = tableWithContactAt0(95, 400, 600);
    assertEquals(StoreRole.FOLLOWER, READERS.role(table, Nanos.ofMillis(880)));
    assertEquals(StoreRole.FALLBACK, READERS.role(table, Nanos.ofMillis(920)));
  }

  /**
   * Guards against instances that read for themselves although the readers reach the store: the
   * heartbeats of hubs become rarer with the number of instances.
   */
  @Test
  void rareHeartbeatsDoNotMakeInstancesRead() {
    long heartbeatMillis = HubTopology.create().heartbeatMillis(340, true);
    PeerTable table = tableWithContactAt0(340, heartbeatMillis, 1_000);
    assertEquals(StoreRole.FOLLOWER, READERS.role(table, Nanos.ofMillis(heartbeatMillis)));
  }

  /**
   * Guards against a configuration that is in force too late: all readers lose the store right
   * before it is written. Deployments whose instances form a full mesh have 2 s for it.
   */
  @Test
  void lossOfAllReadersDelaysChangesByLessThanTwoSeconds() {
    long heartbeatMillis = HubTopology.create().heartbeatMillis(9, true);
    long tickMillis = 400;
    long delayNanos =
        FewInstancesRead.MAX_CONTACT_AGE_NANOS + Nanos.ofMillis(heartbeatMillis + tickMillis);
    assertTrue(delayNanos < Nanos.ofMillis(2_000), Nanos.toMillis(delayNanos) + " ms");
  }

  /**
   * Guards against a configuration that is in force too late: an instance relied on one that is no
   * hub, whose heartbeats are rare, and which was lost right before the configuration was written.
   * Large deployments have 3 s for it.
   */
  @Test
  void lossOfInstanceWithRareHeartbeatsDelaysChangesByLessThanThreeSeconds() {
    for (int count : new int[] {72, 300}) {
      PeerTable table = PeerTable.create(peer(1), HubTopology.create());
      for (int other = 2; other <= count; other++) {
        table.discover(peer(other));
      }
      table.onReport("e2", reportsOf(count));
      long leafMillis = HubTopology.create().heartbeatMillis(count, false);
      StoreView view = new StoreView(false, 0, Map.of());
      table.onHeartbeat("e3", new PeerStatus(true, false, leafMillis, view, Map.of(), Set.of()), 0);
      long tickMillis = 400;
      assertEquals(StoreRole.FALLBACK, READERS.role(table, Nanos.ofMillis(2_900 - tickMillis)));
    }
  }

  /** Returns a report that all instances are live. */
  private static List<PeerState> reportsOf(int count) {
    return IntStream.rangeClosed(2, count)
        .mapToObj(number -> new PeerState("e" + number, true, true, false))
        .toList();
  }

  @Test
  void leavingInstanceDoesNotRead() {
    Map<String, PeerTable> tables = tables(9, Set.of());
    String reader = readers(tables, StoreRole.READER, 0).iterator().next();
    PeerTable table = tables.get(reader);
    table.ownStatus(new PeerStatus(true, true, 400, StoreView.NONE, Map.of(), Set.of()));
    assertEquals(StoreRole.FOLLOWER, READERS.role(table, 0));
  }

  @Test
  void instanceWithoutPeersReads() {
    PeerTable alone = PeerTable.create(peer(1), FullMeshTopology.create());
    assertEquals(StoreRole.READER, READERS.role(alone, 0));
  }
}
