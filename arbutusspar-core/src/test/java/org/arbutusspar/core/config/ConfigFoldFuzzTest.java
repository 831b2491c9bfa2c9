package org.arbutusspar.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Guards against instances that end with different configurations or go back to an earlier one.
 * Random steps append conflicting, repeated and deleting changes and outdated snapshots, truncate
 * the log, restart readers and pass states between them. The result is compared with a simple model
 * that holds the last accepted share of each workspace.
 */
class ConfigFoldFuzzTest {

  private static final int STEPS = 400;
  private static final int READERS = 4;
  private static final int WORKSPACES = 3;

  private final List<LogRecord> log = new ArrayList<>();
  private final Map<String, Long> expectedRevisions = new TreeMap<>();
  private final Map<String, Integer> expectedShares = new TreeMap<>();
  private final ConfigFold[] readers = new ConfigFold[READERS];
  private final long[] highestRevisions = new long[READERS];
  private int firstRetainedOffset = 1;
  private int changeCount;

  @Property(tries = 150, seed = "4711")
  void everyReaderReachesTheExpectedStateAndNoRevisionDecreases(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    log.clear();
    expectedRevisions.clear();
    expectedShares.clear();
    firstRetainedOffset = 1;
    changeCount = 0;
    for (int i = 0; i < READERS; i++) {
      readers[i] = ConfigFold.create();
      highestRevisions[i] = 0;
    }
    for (int step = 0; step < STEPS; step++) {
      step(random);
    }
    // Readers that cannot close their gap from the truncated log adopt the state of a complete
    // reader.
    ConfigFold upToDate = ConfigFold.create();
    for (int i = 1; i <= log.size(); i++) {
      upToDate.offer(i, log.get(i - 1));
    }
    for (int i = 0; i < READERS; i++) {
      read(i, log.size());
      readers[i].adopt(upToDate.state());
      assertEquals(upToDate.state(), readers[i].state());
    }
    Map<String, Integer> actual = new TreeMap<>();
    upToDate.state().all(Workspace.class).forEach(w -> actual.put(w.name().value(), w.share()));
    assertEquals(expectedShares, actual);
  }

  private void step(UniformRandomProvider random) {
    int reader = random.nextInt(READERS);
    switch (random.nextInt(10)) {
      case 0, 1, 2 -> change(random, 0);
      case 3 -> change(random, 1 + random.nextInt(3));
      case 4 -> {
        readers[reader] = ConfigFold.create();
        highestRevisions[reader] = 0;
      }
      case 5 -> log.add(new LogRecord.Snapshot(readers[reader].state()));
      case 6 ->
          firstRetainedOffset =
              Math.max(firstRetainedOffset, 1 + random.nextInt(log.size() + 1) / 2);
      case 7 -> readers[reader].adopt(readers[random.nextInt(READERS)].state());
      default -> read(reader, 1 + random.nextInt(8));
    }
    checkRevisionsDoNotDecrease();
  }

  /**
   * Appends a change of a random workspace, at times twice.
   *
   * @param revisionsBehind number by which the base of the edit is below the workspace's revision;
   *     the change is accepted only if it is 0
   */
  private void change(UniformRandomProvider random, int revisionsBehind) {
    String name = "w" + random.nextInt(WORKSPACES);
    long revision = expectedRevisions.getOrDefault(name, 0L);
    long base = Math.max(0, revision - revisionsBehind);
    boolean delete = revision > 0 && random.nextInt(4) == 0;
    int share = 1 + random.nextInt(100);
    Workspace workspace = Samples.workspace(name, share);
    String id = "n" + changeCount++;
    LogRecord.Change change =
        delete ? Samples.delete(id, base, workspace.key()) : Samples.put(id, base, workspace);
    log.add(change);
    if (base == revision && delete) {
      expectedRevisions.remove(name);
      expectedShares.remove(name);
    } else if (base == revision) {
      expectedRevisions.put(name, (long) log.size());
      expectedShares.put(name, share);
    }
    if (random.nextInt(5) == 0) {
      log.add(change);
    }
  }

  /** Offers the next retained records of the log to a reader. */
  private void read(int reader, int records) {
    for (int i = 0; i < records; i++) {
      long next = Math.max(firstRetainedOffset, readers[reader].nextOffset());
      if (next > log.size()) {
        return;
      }
      readers[reader].offer(next, log.get((int) next - 1));
    }
  }

  private void checkRevisionsDoNotDecrease() {
    for (int i = 0; i < READERS; i++) {
      long revision = readers[i].state().revision();
      assertTrue(revision >= highestRevisions[i], "the revision of a reader has decreased");
      highestRevisions[i] = revision;
    }
  }
}
