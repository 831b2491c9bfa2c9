package org.arbutusspar.core.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards that tables neither go back nor stay behind when a store returns from copies. Two tables
 * read the store and four copy from any other, in random order, with cuts of any length and several
 * returns; writers write again what was lost.
 */
class StoreReturnFuzzTest {

  private static final int RUNS = 300;
  private static final int STEPS = 200;
  private static final int TABLES = 6;
  private static final int READERS = 2;
  private static final int KEYS = 5;

  /** Values are versions that only rise; those of equal length compare as text. */
  private record VersionRules(boolean isRepeated) implements RowRules {
    @Override
    public boolean sameContent(byte[] current, byte[] value) {
      return Arrays.equals(current, value);
    }

    @Override
    public boolean isOlder(byte[] current, byte[] value) {
      return text(value).compareTo(text(current)) < 0;
    }
  }

  private static String text(byte[] value) {
    return new String(value, StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void tablesNeitherGoBackNorStayBehind(boolean repeated) {
    for (int seed = 0; seed < RUNS; seed++) {
      Run run = new Run(seed, new VersionRules(repeated));
      for (int step = 0; step < STEPS; step++) {
        run.step();
      }
      run.settle();
    }
  }

  /** A store, its writers and the tables of some instances. */
  private static final class Run {
    private final int seed;
    private final RowRules rules;
    private final Random random;
    private final Map<String, Optional<byte[]>> written = new TreeMap<>();
    private final List<SharedTable> tables = new ArrayList<>();
    private final List<Map<String, String>> highest = new ArrayList<>();
    private List<TableRecord> topic = new ArrayList<>();
    private List<TableRecord> copy = List.of();
    private long era = 1;
    private int version = 1_000;

    private Run(int seed, RowRules rules) {
      this.seed = seed;
      this.rules = rules;
      random = new Random(seed);
      for (int i = 0; i < TABLES; i++) {
        SharedTable table = SharedTable.create(rules);
        table.replace(List.of(), position(0));
        tables.add(table);
        highest.add(new HashMap<>());
      }
    }

    private long position(long offset) {
      return StorePosition.of(era, offset);
    }

    private void step() {
      int choice = random.nextInt(100);
      if (choice < 30) {
        write("k" + random.nextInt(KEYS));
      } else if (choice < 34) {
        copy = List.copyOf(topic);
      } else if (choice < 36) {
        returnFromCopy();
      } else if (choice < 42) {
        rewrite("k" + random.nextInt(KEYS));
      } else if (choice < 60) {
        read(tables.get(random.nextInt(READERS)), random.nextInt(3));
      } else if (choice < 64) {
        release(tables.get(random.nextInt(READERS)));
      } else {
        int receiver = READERS + random.nextInt(TABLES - READERS);
        copyTable(tables.get(random.nextInt(TABLES)), tables.get(receiver));
      }
      checkVersions();
    }

    private void write(String key) {
      boolean removed = written.containsKey(key) && random.nextInt(5) == 0;
      byte[] value = Integer.toString(++version).getBytes(StandardCharsets.UTF_8);
      written.put(key, removed ? Optional.empty() : Optional.of(value));
      rewrite(key);
    }

    private void rewrite(String key) {
      Optional<byte[]> value = written.get(key);
      if (value != null) {
        topic.add(new TableRecord(key, value, position(topic.size())));
      }
    }

    private void returnFromCopy() {
      era++;
      topic = new ArrayList<>();
      for (TableRecord record : copy) {
        topic.add(new TableRecord(record.key(), record.value(), position(topic.size())));
      }
    }

    /** Reads all records but the last ones, or the newest of each key after a return. */
    private void read(SharedTable table, int unread) {
      if (StorePosition.era(table.offset()) != era) {
        table.holdRemovals();
        table.replace(newest(), position(topic.size()));
        return;
      }
      int from = (int) StorePosition.offset(table.offset());
      int end = topic.size() - unread;
      if (from < end) {
        table.append(topic.subList(from, end), position(end));
      }
    }

    private List<TableRecord> newest() {
      Map<String, TableRecord> newest = new LinkedHashMap<>();
      topic.forEach(record -> newest.put(record.key(), record));
      return newest.values().stream().filter(record -> record.value().isPresent()).toList();
    }

    private static void copyTable(SharedTable source, SharedTable receiver) {
      if (!receiver.follow(source.version())) {
        receiver.merge(source.copySince(receiver.offset()));
      }
    }

    /**
     * Checks that no row goes back while it stays. A removed row may come back with an older value
     * from a table whose instance had not read the removal before the store returned.
     */
    private void checkVersions() {
      for (int i = 0; i < TABLES; i++) {
        Map<String, String> seen = highest.get(i);
        seen.keySet().retainAll(tables.get(i).values().keySet());
        tables
            .get(i)
            .values()
            .forEach(
                (key, value) -> {
                  String previous = seen.getOrDefault(key, "");
                  assertTrue(
                      text(value).compareTo(previous) >= 0,
                      "seed " + seed + ": " + key + " from " + previous + " to " + text(value));
                  seen.put(key, text(value));
                });
      }
    }

    /** Releases removals, by which time all writers have written again what was lost. */
    private void release(SharedTable table) {
      read(table, 0);
      written.keySet().forEach(this::rewrite);
      read(table, 0);
      table.releaseRemovals();
    }

    /** All tables end with what was written last. */
    private void settle() {
      for (int i = 0; i < READERS; i++) {
        release(tables.get(i));
      }
      read(tables.get(0), 0);
      tables.forEach(table -> copyTable(tables.get(0), table));
      Map<String, String> expected = new TreeMap<>();
      written.forEach((key, value) -> value.ifPresent(present -> expected.put(key, text(present))));
      for (SharedTable table : tables) {
        Map<String, String> rows = new TreeMap<>();
        table.values().forEach((key, value) -> rows.put(key, text(value)));
        assertEquals(expected, rows, "seed " + seed);
      }
    }
  }
}
