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
 * Readers that lag, restart, read a truncated log, get late snapshots and hear from fellows,
 * against an oracle that keeps only the last accepted share of each workspace.
 */
class ConfigFoldFuzzTest {

  private static final int STEPS = 400;
  private static final int READERS = 4;
  private static final int NAMES = 3;

  private final List<LogRecord> log = new ArrayList<>();
  private final Map<String, Long> revisions = new TreeMap<>();
  private final Map<String, Integer> shares = new TreeMap<>();
  private final ConfigFold[] readers = new ConfigFold[READERS];
  private final long[] seen = new long[READERS];
  private int first = 1;
  private int changes;

  @Property(tries = 150, seed = "4711")
  void everyReaderReachesTheOracleAndNoneStepsBack(
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    log.clear();
    revisions.clear();
    shares.clear();
    first = 1;
    changes = 0;
    for (int i = 0; i < READERS; i++) {
      readers[i] = ConfigFold.create();
      seen[i] = 0;
    }
    for (int step = 0; step < STEPS; step++) {
      step(random);
    }
    // At the end a fellow that has everything helps those whom truncation left behind.
    ConfigFold best = ConfigFold.create();
    for (int i = 1; i <= log.size(); i++) {
      best.offer(i, log.get(i - 1));
    }
    for (int i = 0; i < READERS; i++) {
      read(i, log.size());
      readers[i].adopt(best.state());
      assertEquals(best.state(), readers[i].state());
    }
    Map<String, Integer> actual = new TreeMap<>();
    best.state().all(Workspace.class).forEach(w -> actual.put(w.name().value(), w.share()));
    assertEquals(shares, actual);
  }

  private void step(UniformRandomProvider random) {
    int reader = random.nextInt(READERS);
    switch (random.nextInt(10)) {
      case 0, 1, 2 -> change(random, 0);
      case 3 -> change(random, 1 + random.nextInt(3));
      case 4 -> {
        readers[reader] = ConfigFold.create();
        seen[reader] = 0;
      }
      case 5 -> log.add(new LogRecord.Snapshot(readers[reader].state()));
      case 6 -> first = Math.max(first, 1 + random.nextInt(log.size() + 1) / 2);
      case 7 -> readers[reader].adopt(readers[random.nextInt(READERS)].state());
      default -> read(reader, 1 + random.nextInt(8));
    }
    checkNotBack();
  }

  /** Appends a change whose base lags behind the newest revision by some changes. */
  private void change(UniformRandomProvider random, int lag) {
    String name = "w" + random.nextInt(NAMES);
    long revision = revisions.getOrDefault(name, 0L);
    long base = Math.max(0, revision - lag);
    boolean delete = revision > 0 && random.nextInt(4) == 0;
    int share = 1 + random.nextInt(100);
    Workspace workspace = Samples.workspace(name, share);
    String id = "n" + changes++;
    LogRecord.Change change =
        delete ? Samples.delete(id, base, workspace.key()) : Samples.put(id, base, workspace);
    log.add(change);
    if (base == revision && delete) {
      revisions.remove(name);
      shares.remove(name);
    } else if (base == revision) {
      revisions.put(name, (long) log.size());
      shares.put(name, share);
    }
    if (random.nextInt(5) == 0) {
      log.add(change);
    }
  }

  private void read(int reader, int records) {
    for (int i = 0; i < records; i++) {
      long next = Math.max(first, readers[reader].nextOffset());
      if (next > log.size()) {
        return;
      }
      readers[reader].offer(next, log.get((int) next - 1));
    }
  }

  private void checkNotBack() {
    for (int i = 0; i < READERS; i++) {
      long revision = readers[i].state().revision();
      assertTrue(revision >= seen[i], "a reader stepped back");
      seen[i] = revision;
    }
  }
}
