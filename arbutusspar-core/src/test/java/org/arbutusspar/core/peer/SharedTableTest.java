package org.arbutusspar.core.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Guards that a table copied from peers equals one read from the store, whichever peer each change
 * came from, and that a row that was removed does not come back.
 */
class SharedTableTest {

  /**
   * Values mean the same if they are equal up to a slash; the rest stands for a heartbeat.
   *
   * @param ordered whether of two values the one that sorts first is older
   */
  private record Rules(boolean ordered) implements RowRules {
    @Override
    public boolean sameContent(byte[] current, byte[] value) {
      return meaning(current).equals(meaning(value));
    }

    @Override
    public boolean isOlder(byte[] current, byte[] value) {
      return ordered && meaning(value).compareTo(meaning(current)) < 0;
    }

    @Override
    public boolean isRepeated() {
      return true;
    }
  }

  private static SharedTable table() {
    return SharedTable.create(new Rules(false));
  }

  private static SharedTable orderedTableAt10() {
    SharedTable table = SharedTable.create(new Rules(true));
    table.replace(List.of(put("a", "1", 3), put("b", "1", 7)), 10);
    return table;
  }

  private static String meaning(byte[] value) {
    return new String(value, StandardCharsets.UTF_8).split("/")[0];
  }

  private static TableRecord put(String key, String value, long offset) {
    return new TableRecord(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)), offset);
  }

  private static TableRecord remove(String key, long offset) {
    return new TableRecord(key, Optional.empty(), offset);
  }

  private static Map<String, String> rows(SharedTable table) {
    Map<String, String> rows = new TreeMap<>();
    table.values().forEach((key, value) -> rows.put(key, meaning(value)));
    return rows;
  }

  private static SharedTable tableAt10() {
    SharedTable table = table();
    table.replace(List.of(put("a", "1", 3), put("b", "1", 7)), 10);
    return table;
  }

  private static long later(long offset) {
    return StorePosition.of(1, offset);
  }

  /** After the store had returned from a copy, all records were ignored up to the old offset. */
  @Test
  void recordsOfStoreThatReturnedFromCopyAreApplied() {
    SharedTable table = orderedTableAt10();
    table.append(List.of(put("c", "1", 10), put("b", "5", 11), remove("a", 12)), 13);
    table.holdRemovals();
    assertFalse(table.replace(List.of(put("a", "1", later(3)), put("b", "1", later(7))), later(8)));
    assertEquals(Map.of("b", "5", "c", "1"), rows(table), "newer and removed rows stay");
    assertTrue(table.append(List.of(put("a", "1", later(8)), put("b", "6", later(9))), later(10)));
    assertEquals(Map.of("a", "1", "b", "6", "c", "1"), rows(table));
    assertTrue(table.releaseRemovals());
    assertEquals(Map.of("a", "1", "b", "6"), rows(table), "c was not written again");
    assertFalse(table.replace(List.of(put("x", "9", 50)), 60), "a late answer of the store before");
    assertFalse(table.append(List.of(put("x", "9", 50)), 60));
    assertEquals(later(10), table.offset());
  }

  /** An instance that was cut off during the return passed on its table of the store before. */
  @Test
  void tableOfEarlierEraLosesWhateverItsOffset() {
    SharedTable returned = orderedTableAt10();
    returned.replace(List.of(put("a", "2", later(3)), put("b", "1", later(4))), later(5));
    SharedTable cutOff = orderedTableAt10();
    cutOff.append(List.of(put("a", "1/seq", 900)), 901);
    assertFalse(returned.merge(cutOff.copySince(returned.offset())));
    assertFalse(cutOff.follow(returned.version()));
    assertTrue(cutOff.merge(returned.copySince(cutOff.offset())));
    assertEquals(rows(returned), rows(cutOff));
    assertTrue(cutOff.follow(returned.version()));
  }

  /** A peer without memory of the time before the return passes on rows of the copy. */
  @Test
  void completeCopyAfterReturnDoesNotReplaceNewerRows() {
    SharedTable table = orderedTableAt10();
    table.append(List.of(put("a", "7", 10)), 11);
    SharedTable fresh = SharedTable.create(new Rules(true));
    fresh.replace(List.of(put("a", "1", later(3)), put("d", "1", later(4))), later(5));
    assertTrue(table.merge(fresh.copySince(-1)));
    assertEquals(Map.of("a", "7", "d", "1"), rows(table));
  }

  @Test
  void heartbeatIsNoChange() {
    SharedTable table = tableAt10();
    assertFalse(table.append(List.of(put("a", "1/seq 2", 10)), 11));
    assertEquals(new TableVersion(11, 10), table.version());
    assertTrue(table.append(List.of(put("a", "2", 11)), 12));
    assertEquals(new TableVersion(12, 12), table.version());
  }

  @Test
  void followerWithoutMissingChangesAdvancesByVersionAlone() {
    SharedTable reader = tableAt10();
    SharedTable follower = tableAt10();
    reader.append(List.of(put("a", "1/seq 2", 10)), 11);
    assertTrue(follower.follow(reader.version()));
    assertEquals(11, follower.offset());
    reader.append(List.of(put("a", "2", 11)), 12);
    assertFalse(follower.follow(reader.version()));
    assertEquals(11, follower.offset());
  }

  @Test
  void copyHoldsOnlyRowsAndRemovalsSinceOffset() {
    SharedTable reader = tableAt10();
    reader.append(List.of(put("c", "1", 10), remove("b", 11)), 12);
    TableCopy copy = reader.copySince(10);
    assertFalse(copy.complete());
    assertEquals(List.of("c"), copy.rows().stream().map(TableCopy.Row::key).toList());
    assertEquals(List.of(new TableCopy.Removal("b", 11)), copy.removed());
    SharedTable follower = tableAt10();
    assertTrue(follower.merge(copy));
    assertEquals(rows(reader), rows(follower));
    assertEquals(reader.version(), follower.version());
  }

  @Test
  void copyIsCompleteIfItsReceiverMayMissEarlierRemovals() {
    assertTrue(tableAt10().copySince(9).complete());
    assertTrue(tableAt10().copySince(-1).complete());
    SharedTable empty = table();
    assertThrows(IllegalArgumentException.class, () -> empty.merge(tableAt10().copySince(10)));
    assertTrue(empty.merge(tableAt10().copySince(-1)));
    assertEquals(Map.of("a", "1", "b", "1"), rows(empty));
  }

  /**
   * Guards against a replica that had left being used again: a read from the store is in progress
   * while a peer's copy, which has the removal, arrives. The response of the read holds an older
   * record of the replica.
   */
  @Test
  void recordReadBeforeCopyDoesNotBringBackRemovedRow() {
    SharedTable reader = tableAt10();
    reader.append(List.of(put("b", "2", 10), remove("b", 11)), 12);
    SharedTable table = tableAt10();
    table.merge(reader.copySince(table.offset()));
    table.append(List.of(put("b", "2", 10)), 11);
    assertEquals(Map.of("a", "1"), rows(table));
    table.replace(List.of(put("a", "1", 3), put("b", "2", 10)), 11);
    assertEquals(Map.of("a", "1"), rows(table));
    assertEquals(12, table.offset());
  }

  /**
   * Guards against a follower that never gets a removal: the reader defers it after an outage of
   * the store and applies it after the follower has followed a later offset.
   */
  @Test
  void deferredRemovalReachesFollowers() {
    SharedTable reader = tableAt10();
    SharedTable follower = tableAt10();
    reader.holdRemovals();
    reader.append(List.of(remove("b", 10), put("a", "1/seq 2", 11)), 12);
    assertTrue(follower.follow(reader.version()));
    assertEquals(Map.of("a", "1", "b", "1"), rows(reader));
    assertTrue(reader.releaseRemovals());
    assertFalse(follower.follow(reader.version()));
    follower.merge(reader.copySince(follower.offset()));
    assertEquals(Map.of("a", "1"), rows(follower));
  }

  /** A version of the configuration was not taken over while its source held back a removal. */
  @Test
  void changesAfterHeldRemovalReachFollowers() {
    SharedTable reader = tableAt10();
    SharedTable follower = tableAt10();
    reader.holdRemovals();
    reader.append(List.of(remove("b", 10), put("a", "2", 11)), 12);
    assertFalse(follower.follow(reader.version()));
    for (long since : new long[] {follower.offset(), -1}) {
      follower.merge(reader.copySince(since));
      assertEquals(Map.of("a", "2", "b", "1"), rows(follower), "rows since " + since);
    }
    reader.releaseRemovals();
    follower.merge(reader.copySince(follower.offset()));
    assertEquals(Map.of("a", "2"), rows(follower));
    assertEquals(12, follower.offset());
  }

  @Test
  void rowThatIsBackInTimeIsNotRemoved() {
    SharedTable table = tableAt10();
    table.holdRemovals();
    table.append(List.of(remove("b", 10), put("b", "1/seq 9", 11)), 12);
    assertFalse(table.releaseRemovals());
    assertEquals(Map.of("a", "1", "b", "1"), rows(table));
    assertEquals(12, table.version().offset());
  }

  @Test
  void rowsMissingFromNewestRecordsAreRemoved() {
    SharedTable table = tableAt10();
    assertTrue(table.replace(List.of(put("a", "1", 3)), 20));
    assertEquals(Map.of("a", "1"), rows(table));
    SharedTable follower = tableAt10();
    follower.merge(table.copySince(follower.offset()));
    assertEquals(Map.of("a", "1"), rows(follower));
  }

  /**
   * Replays random topics with two readers at different offsets and followers that copy from either
   * of them, and compares all tables with the topic at the end.
   */
  @Test
  void followersOfSeveralReadersConverge() {
    for (int seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      List<TableRecord> topic = new ArrayList<>();
      List<SharedTable> tables = new ArrayList<>();
      for (int i = 0; i < 5; i++) {
        SharedTable table = table();
        table.replace(List.of(), 0);
        tables.add(table);
      }
      for (int step = 0; step < 100; step++) {
        String key = "k" + random.nextInt(6);
        topic.add(
            random.nextInt(4) == 0
                ? remove(key, topic.size())
                : put(key, random.nextInt(2) + "/" + step, topic.size()));
        readUpTo(tables.get(random.nextInt(2)), topic, topic.size() - random.nextInt(3));
        copy(tables.get(random.nextInt(5)), tables.get(2 + random.nextInt(3)));
      }
      readUpTo(tables.get(0), topic, topic.size());
      tables.forEach(table -> copy(tables.get(0), table));
      for (SharedTable table : tables) {
        assertEquals(rows(tables.get(0)), rows(table), "seed " + seed);
      }
      assertEquals(expected(topic), rows(tables.get(0)), "seed " + seed);
    }
  }

  private static void readUpTo(SharedTable table, List<TableRecord> topic, int end) {
    int from = (int) table.offset();
    if (from < end) {
      table.append(topic.subList(from, end), end);
    }
  }

  private static void copy(SharedTable source, SharedTable receiver) {
    if (!receiver.follow(source.version())) {
      receiver.merge(source.copySince(receiver.offset()));
    }
  }

  private static Map<String, String> expected(List<TableRecord> topic) {
    Map<String, String> rows = new TreeMap<>();
    for (TableRecord record : topic) {
      rows.remove(record.key());
      record.value().ifPresent(value -> rows.put(record.key(), meaning(value)));
    }
    return rows;
  }

  /** A row that changes back from an earlier state than the newest one must be noticed. */
  @Test
  void repeatedRowIsComparedWithTheNewestOne() {
    SharedTable table = table();
    table.replace(List.of(put("a", "1/x", 3)), 10);
    assertFalse(table.append(List.of(put("a", "1/y", 10)), 11));
    assertEquals("1/y", new String(table.value("a").orElseThrow(), StandardCharsets.UTF_8));
    assertEquals(3, table.rowOffset("a"));
  }
}
