package org.arbutusspar.standins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.arbutusspar.io.platform.LogPage;

/**
 * In-memory append-only log. Offsets start at 1, only the newest records are retained, and an
 * outage, a response delay and lost append responses can be injected.
 */
final class LogStandin {

  private static final int DEFAULT_RETAINED_RECORDS = 100_000;

  /** Further reads return an empty page at once, which bounds the memory of the stand-in. */
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

  /**
   * Creates an empty log.
   *
   * @param timer timer for the waiting time of reads
   * @return the log
   */
  static LogStandin create(ScheduledExecutorService timer) {
    return new LogStandin(timer);
  }

  /** Sets whether the log is unavailable. */
  synchronized void setDown(boolean value) {
    down = value;
  }

  /** Sets whether records are appended but their responses are lost. */
  synchronized void setDropsAppendResponses(boolean value) {
    dropsAppendResponses = value;
  }

  /** Sets the delay of each response, in milliseconds. */
  synchronized void setDelayMillis(long value) {
    delayMillis = value;
  }

  /** Sets the number of newest records to retain, and drops the older ones. */
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

  /**
   * Appends a record and completes all pending reads.
   *
   * @param data the record
   * @return its offset
   */
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

  /**
   * Reads a page. If there is no record at the offset yet, waits for the next append or for the
   * waiting time; the page is empty if the time passes first.
   *
   * @param from offset of the first record to read
   * @param maxRecords maximum number of records of the page
   * @param waitMillis maximum waiting time, in milliseconds; 0 to return at once
   * @param onPage receives the page
   */
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

  /** A read that has not been completed yet. */
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
