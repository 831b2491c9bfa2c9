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

  private static final int DEFAULT_RETAIN = 100_000;
  private static final int MAX_WAITERS = 10_000;

  private final ScheduledExecutorService timer;
  private final Deque<LogPage.Entry> records = new ArrayDeque<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private long next = 1;
  private int retain = DEFAULT_RETAIN;
  private boolean down;
  private boolean losesAnswers;
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

  synchronized void setLosesAnswers(boolean value) {
    losesAnswers = value;
  }

  synchronized void setDelayMillis(long value) {
    delayMillis = value;
  }

  synchronized void setRetain(int value) {
    retain = value;
    trim();
  }

  synchronized boolean isDown() {
    return down;
  }

  synchronized boolean losesAnswers() {
    return losesAnswers;
  }

  synchronized long delayMillis() {
    return delayMillis;
  }

  /** Appends a record and returns its offset. */
  long append(String data) {
    List<Waiter> woken;
    long offset;
    synchronized (this) {
      offset = next++;
      records.addLast(new LogPage.Entry(offset, data));
      trim();
      woken = new ArrayList<>(waiters);
      waiters.clear();
    }
    woken.forEach(Waiter::wake);
    return offset;
  }

  private void trim() {
    while (records.size() > retain) {
      records.removeFirst();
    }
  }

  /** Reads a page now or as soon as there is a record, at the latest after a time. */
  void read(long from, int limit, long waitMillis, Consumer<LogPage> sink) {
    Waiter waiter = new Waiter(from, limit, sink);
    synchronized (this) {
      boolean wait = from >= next && waitMillis > 0 && waiters.size() < MAX_WAITERS;
      if (wait) {
        waiters.add(waiter);
        timer.schedule(() -> expire(waiter), waitMillis, TimeUnit.MILLISECONDS);
        return;
      }
    }
    waiter.wake();
  }

  private void expire(Waiter waiter) {
    boolean removed;
    synchronized (this) {
      removed = waiters.remove(waiter);
    }
    if (removed) {
      waiter.wake();
    }
  }

  private synchronized LogPage page(long from, int limit) {
    List<LogPage.Entry> page = new ArrayList<>();
    for (LogPage.Entry entry : records) {
      if (entry.offset() >= from && page.size() < limit) {
        page.add(entry);
      }
    }
    long first = records.isEmpty() ? next : records.getFirst().offset();
    return new LogPage(first, next, page);
  }

  /** A reader that waits for a record. */
  private final class Waiter {
    private final long from;
    private final int limit;
    private final Consumer<LogPage> sink;

    private Waiter(long from, int limit, Consumer<LogPage> sink) {
      this.from = from;
      this.limit = limit;
      this.sink = sink;
    }

    private void wake() {
      sink.accept(page(from, limit));
    }
  }
}
