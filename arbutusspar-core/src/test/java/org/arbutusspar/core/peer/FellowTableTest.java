package org.arbutusspar.core.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.stage.QueueWait;
import org.junit.jupiter.api.Test;

class FellowTableTest {

  private static final DataCentre HERE = DataCentre.of("here");
  private static final DataCentre THERE = DataCentre.of("there");

  private static Fellow fellow(int number, long incarnation) {
    return new Fellow(
        "e" + number,
        incarnation,
        number % 2 == 0 ? HERE : THERE,
        new Endpoint("10.0.0." + number, 7_000),
        new Endpoint("10.0.0." + number, 8_000));
  }

  private static Beat beat(boolean ready, boolean leaving, long offset) {
    return new Beat(ready, leaving, offset, offset, Map.of(), Set.of());
  }

  private static FellowTable table(int self, int others) {
    FellowTable table = FellowTable.create(fellow(self, 1), 1_000);
    table.own(beat(true, false, 5));
    for (int i = 1; i <= others + 1; i++) {
      if (i != self) {
        table.learn(fellow(i, 1));
        table.onBeat("e" + i, beat(true, false, 5), 0);
      }
    }
    return table;
  }

  @Test
  void instancesThatKnowTheSameFellowsAgreeOnTheGatherer() {
    Set<String> chosen = new HashSet<>();
    for (int self = 1; self <= 6; self++) {
      chosen.add(table(self, 5).holder("entregas", 0));
    }
    assertEquals(1, chosen.size());
  }

  /** Returns the name of a service whose pieces another instance gathers. */
  private static String serviceOfAnother(FellowTable table) {
    return IntStream.range(0, 100)
        .mapToObj(i -> "s" + i)
        .filter(service -> !table.holder(service, 0).equals("e1"))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void leavingLostAndSilentFellowsDoNotGather() {
    FellowTable table = table(1, 5);
    String service = serviceOfAnother(table);
    String gatherer = table.holder(service, 0);
    table.onBeat(gatherer, beat(true, true, 5), 0);
    assertNotEquals(gatherer, table.holder(service, 0));
    table.onBeat(gatherer, beat(true, false, 5), 0);
    assertEquals(gatherer, table.holder(service, 0));
    table.onDown(gatherer);
    assertNotEquals(gatherer, table.holder(service, 0));
    assertEquals("e1", table.holder(service, Nanos.ofMillis(1_001)), "all others are silent");
  }

  @Test
  void clientsAreSentToTheirDataCentreFirstAndNeverToOneThatLeaves() {
    FellowTable table = table(1, 5);
    List<Fellow> answer = table.forClients(HERE, 0);
    assertEquals(6, answer.size());
    assertEquals(HERE, answer.get(0).dataCentre());
    table.onBeat("e2", beat(true, true, 5), 0);
    table.onBeat("e4", beat(false, false, 5), 0);
    assertEquals(4, table.forClients(HERE, 0).size());
    table.own(beat(true, true, 5));
    assertFalse(FellowTable.names(table.forClients(HERE, 0)).contains("e1"));
  }

  @Test
  void laterLifeReplacesAnEarlierOneAndNotTheReverse() {
    FellowTable table = table(1, 1);
    assertTrue(table.learn(fellow(2, 2)));
    assertFalse(table.learn(fellow(2, 1)));
    assertFalse(table.isLive("e2", 0), "the new life has not been heard of");
  }

  @Test
  void theInstanceThatIsFarthestAheadIsFound() {
    FellowTable table = table(1, 3);
    assertEquals(Optional.empty(), table.ahead(true, 0));
    table.onBeat("e3", beat(true, false, 9), 0);
    assertEquals("e3", table.ahead(true, 0).orElseThrow().name());
    assertEquals(Optional.empty(), table.ahead(true, Nanos.ofMillis(1_001)));
  }

  private static Beat beatWithRole(boolean leaving, String role) {
    return new Beat(true, leaving, 5, 5, Map.of(), Set.of(role));
  }

  /** Replays a rolling restart: an instance that has come back takes no role from another. */
  @Test
  void roleStaysWhereItIsUntilItsHolderLeaves() {
    FellowTable table = table(1, 5);
    String service = serviceOfAnother(table);
    String first = table.holder(service, 0);
    table.onDown(first);
    String second = table.holder(service, 0);
    if (second.equals("e1")) {
      table.own(beatWithRole(false, service));
    } else {
      table.onBeat(second, beatWithRole(false, service), 0);
    }
    table.onBeat(first, beat(true, false, 5), 0);
    assertEquals(second, table.holder(service, 0));
    if (second.equals("e1")) {
      table.own(beatWithRole(true, service));
    } else {
      table.onBeat(second, beatWithRole(true, service), 0);
    }
    assertEquals(first, table.holder(service, 0));
  }

  @Test
  void oneOfSeveralHoldersIsAgreedOn() {
    Set<String> chosen = new HashSet<>();
    for (int self = 1; self <= 6; self++) {
      FellowTable table = table(self, 5);
      for (int holder : new int[] {2, 5}) {
        if (holder == self) {
          table.own(beatWithRole(false, "x"));
        } else {
          table.onBeat("e" + holder, beatWithRole(false, "x"), 0);
        }
      }
      chosen.add(table.holder("x", 0));
    }
    assertEquals(1, chosen.size());
    assertTrue(Set.of("e2", "e5").containsAll(chosen));
  }

  /** Replays tvoet scale-1: the gatherer has lost power, and pieces gather unseen. */
  @Test
  void waitGrowsWithTheSilenceOfTheGatherer() {
    FellowTable table = table(1, 5);
    String service = serviceOfAnother(table);
    Map<String, QueueWait> waits = Map.of(service, new QueueWait(300, 900));
    table.onBeat(table.holder(service, 0), new Beat(true, false, 5, 5, waits, Set.of(service)), 0);
    assertEquals(300, table.queueWait(service, Nanos.ofMillis(400)).millis(false));
    assertEquals(700, table.queueWait(service, Nanos.ofMillis(900)).millis(false));
  }

  @Test
  void waitOfFormerGathererCountsUntilTheNextTellsItsOwn() {
    FellowTable table = table(1, 5);
    String service = serviceOfAnother(table);
    String first = table.holder(service, 0);
    Map<String, QueueWait> waits = Map.of(service, new QueueWait(300, 900));
    table.onBeat(first, new Beat(true, false, 5, 5, waits, Set.of(service)), 0);
    table.onDown(first);
    assertNotEquals(first, table.holder(service, 0));
    assertEquals(500, table.queueWait(service, Nanos.ofMillis(200)).millis(false));
    assertEquals(0, table.queueWait(service, Nanos.ofMillis(3_500)).millis(false));
  }

  @Test
  void waitsAreThoseOfTheGatherer() {
    FellowTable table = table(1, 5);
    String gatherer = table.holder("x", 0);
    Map<String, QueueWait> waits = Map.of("x", new QueueWait(300, 900));
    Beat beat = new Beat(true, false, 5, 5, waits, Set.of());
    if (gatherer.equals("e1")) {
      table.own(beat);
    } else {
      table.onBeat(gatherer, beat, 0);
    }
    assertEquals(300, table.queueWait("x", 0).millis(false));
    assertEquals(900, table.queueWait("x", 0).millis(true));
    assertEquals(0, table.queueWait("unknown", 0).millis(true));
  }
}
