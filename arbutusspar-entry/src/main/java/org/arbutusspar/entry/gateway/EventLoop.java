package org.arbutusspar.entry.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.io.KeyValueLine;

/**
 * Event loop of an instance: a single thread that runs all its decisions, so that their state needs
 * no locks. Tasks run in the order in which they are posted. Timers that are due run before posted
 * tasks, in the order of their times.
 *
 * <p>A task that throws is logged, and the loop continues. This includes errors such as an
 * exhausted stack or heap: without the loop, the instance would accept requests and answer none.
 */
final class EventLoop implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(EventLoop.class);

  /** Maximum wait for the running task when the loop is closed, in milliseconds. */
  private static final long STOP_TIMEOUT_MILLIS = 1_000;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition workAvailable = lock.newCondition();
  private final Deque<Runnable> tasks = new ArrayDeque<>();
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final Thread thread = new Thread(this::run, "decisions");
  private long lastSequence;
  private boolean stopped;

  private EventLoop() {}

  /** Returns a started loop. */
  static EventLoop start() {
    EventLoop loop = new EventLoop();
    loop.thread.setDaemon(true);
    loop.thread.start();
    return loop;
  }

  /** Returns the current monotonic time, in nanoseconds. */
  long now() {
    return System.nanoTime();
  }

  /**
   * Adds a task to run on the loop's thread.
   *
   * @param task the task, not null
   */
  void post(Runnable task) {
    lock.lock();
    try {
      tasks.add(task);
      if (Thread.currentThread() != thread) {
        workAvailable.signal();
      }
    } finally {
      lock.unlock();
    }
  }

  /**
   * Runs a task on the loop's thread after a delay.
   *
   * @param millis delay in milliseconds
   * @param task the task, not null
   * @return the timer, which can be cancelled
   */
  Timer after(long millis, Runnable task) {
    return at(now() + Nanos.ofMillis(millis), task);
  }

  /**
   * Runs a task on the loop's thread at a given time, or as soon as possible after it.
   *
   * @param timeNanos monotonic time as of {@link #now}, in nanoseconds
   * @param task the task, not null
   * @return the timer, which can be cancelled
   */
  Timer at(long timeNanos, Runnable task) {
    lock.lock();
    try {
      Timer timer = new Timer(timeNanos, ++lastSequence, task);
      timers.add(timer);
      if (Thread.currentThread() != thread && timers.peek() == timer) {
        workAvailable.signal();
      }
      return timer;
    } finally {
      lock.unlock();
    }
  }

  private void run() {
    while (true) {
      Runnable task = takeNext();
      if (task == null) {
        return;
      }
      try {
        task.run();
      } catch (RuntimeException | Error e) {
        logFailure(e);
      }
    }
  }

  private static void logFailure(Throwable failure) {
    try {
      LOG.error(KeyValueLine.event("task-failed").with("error", failure), failure);
    } catch (RuntimeException | Error e) {
      // Logging needs stack and heap too; the loop must go on without it.
    }
  }

  /** Waits for the next task and removes it. Returns null if the loop is closed or interrupted. */
  private Runnable takeNext() {
    lock.lock();
    try {
      while (!stopped) {
        while (!timers.isEmpty() && timers.peek().cancelled) {
          timers.poll();
        }
        Timer earliest = timers.peek();
        long waitNanos = earliest == null ? Long.MAX_VALUE : earliest.timeNanos - now();
        if (waitNanos <= 0) {
          return timers.poll().task;
        }
        if (!tasks.isEmpty()) {
          return tasks.poll();
        }
        await(waitNanos);
      }
      return null;
    } catch (InterruptedException e) {
      return null;
    } finally {
      lock.unlock();
    }
  }

  private void await(long nanos) throws InterruptedException {
    if (nanos == Long.MAX_VALUE) {
      workAvailable.await();
    } else {
      workAvailable.await(nanos, TimeUnit.NANOSECONDS);
    }
  }

  /** Stops the loop after the running task. Pending tasks and timers are discarded. */
  @Override
  public void close() {
    lock.lock();
    try {
      stopped = true;
      workAvailable.signal();
    } finally {
      lock.unlock();
    }
    try {
      thread.join(STOP_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A task with the time at which it runs unless it is cancelled. */
  static final class Timer implements Comparable<Timer> {
    private final long timeNanos;

    /** Creation order, which orders timers of the same time. */
    private final long sequence;

    private final Runnable task;
    private volatile boolean cancelled;

    private Timer(long timeNanos, long sequence, Runnable task) {
      this.timeNanos = timeNanos;
      this.sequence = sequence;
      this.task = task;
    }

    /** Cancels the task. Has no effect if it already runs or has run. */
    void cancel() {
      cancelled = true;
    }

    @Override
    public int compareTo(Timer other) {
      int byTime = Long.compare(timeNanos - other.timeNanos, 0);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
