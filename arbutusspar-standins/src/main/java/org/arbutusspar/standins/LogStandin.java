package org.arbutusspar.standins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.arbutusspar.io.platform.LogPage;

/** Append-only log in memory with offsets from 1, bounded retention and faults. */
final class LogStandin {

  private static final int DEFAULT_RETAINED_RECORDS = 100_000;
  private static final int MAX_PENDING_READS = 10_000;

  private final ScheduledExecutorService timer;
  private final Deque<LogPage.Entry> records = new ArrayDeque<>();
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private long nextOffset = 1;
  private int retainedRecords = DEFAULT_RETAINED_RECORDS;
  private boolean down;
  private boolean dropsAppendResponses;
  private long delayMillis;

  private LogStandin(ScheduledExecutorService timer) {
    this.timer = timer;
  }

  static LogStandin create(ScheduledExecutorService timer) {
    return new LogStandin(timer);
  }

  synchronized void setDown(boolean value) {
    down = value;
  }

  synchronized void setDropsAppendResponses(boolean value) {
    dropsAppendResponses = value;
  }

  synchronized void setDelayMillis(long value) {
    delayMillis = value;
  }

  synchronized void setRetainedRecords(int value) {
    retainedRecords = value;
    trim();
  }

  synchronized boolean isDown() {
    return down;
  }

  synchronized boolean dropsAppendResponses() {
    return dropsAppendResponses;
  }

  synchronized long delayMillis() {
    return delayMillis;
  }

  /** Appends a record and returns its offset. */
  long append(String data) {
    List<PendingRead> completed;
    long offset;
    synchronized (this) {
      offset = nextOffset++;
      records.addLast(new LogPage.Entry(offset, data));
      trim();
      completed = new ArrayList<>(pendingReads);
      pendingReads.clear();
    }
    completed.forEach(PendingRead::complete);
    return offset;
  }

  private void trim() {
    while (records.size() > retainedRecords) {
      records.removeFirst();
    }
  }

  /** Reads a page now or as soon as there is a record, at the latest after a time. */
  void read(long from, int maxRecords, long waitMillis, Consumer<LogPage> onPage) {
    PendingRead read = new PendingRead(from, maxRecords, onPage);
    synchronized (this) {
      boolean mustWait =
          from >= nextOffset && waitMillis > 0 && pendingReads.size() < MAX_PENDING_READS;
      if (mustWait) {
        pendingReads.add(read);
        timer.schedule(() -> expire(read), waitMillis, TimeUnit.MILLISECONDS);
        return;
      }
    }
    read.complete();
  }

  private void expire(PendingRead read) {
    boolean removed;
    synchronized (this) {
      removed = pendingReads.remove(read);
    }
    if (removed) {
      read.complete();
    }
  }

  private synchronized LogPage page(long from, int maxRecords) {
    List<LogPage.Entry> page = new ArrayList<>();
    for (LogPage.Entry entry : records) {
      if (entry.offset() >= from && page.size() < maxRecords) {
        page.add(entry);
      }
    }
    long first = records.isEmpty() ? nextOffset : records.getFirst().offset();
    return new LogPage(first, nextOffset, page);
  }

  /** A reader that waits for a record. */
  private final class PendingRead {
    private final long from;
    private final int maxRecords;
    private final Consumer<LogPage> onPage;

    private PendingRead(long from, int maxRecords, Consumer<LogPage> onPage) {
      this.from = from;
      this.maxRecords = maxRecords;
      this.onPage = onPage;
    }

    private void complete() {
      onPage.accept(page(from, maxRecords));
    }
  }
}
