package org.arbutusspar.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusspar.io.KeyValueLine;

/**
 * Event loop of the decision thread, the single thread on which an instance makes its decisions.
 * Tasks run one at a time in the order in which they were queued. A tick task runs about every 10
 * milliseconds.
 */
final class DecisionLoop implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(DecisionLoop.class);
  private static final int MAX_QUEUED_TASKS = 65_536;

  /** Maximum number of queued tasks that run before the loop checks whether a tick is due. */
  private static final int MAX_BATCH_TASKS = 256;

  private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final long STOP_TIMEOUT_MILLIS = 2_000;

  private final BlockingQueue<Runnable> tasks = new ArrayBlockingQueue<>(MAX_QUEUED_TASKS);

  /** Tasks that the running task has posted; they run directly after it. */
  private final Deque<Runnable> deferred = new ArrayDeque<>();

  private final Runnable tick;
  private final Thread thread = new Thread(this::run, "decisions");
  private volatile boolean stopped;
  private volatile long failedTasks;

  private DecisionLoop(Runnable tick) {
    this.tick = tick;
  }

  /**
   * Starts a loop.
   *
   * @param tick task that runs at the tick interval, not null
   * @return the loop, to be closed by the caller
   */
  static DecisionLoop start(Runnable tick) {
    DecisionLoop loop = new DecisionLoop(tick);
    loop.thread.setDaemon(true);
    loop.thread.start();
    return loop;
  }

  /**
   * Queues a task unless the queue is full.
   *
   * @param task the task, not null
   * @return true if the task was queued
   */
  boolean offer(Runnable task) {
    return tasks.offer(task);
  }

  /**
   * Queues a task. Blocks while the queue is full, and drops the task if the wait is interrupted.
   * On the decision thread it never blocks: the posted task runs directly after the current one.
   *
   * @param task the task, not null
   */
  void post(Runnable task) {
    if (Thread.currentThread() == thread) {
      deferred.addLast(task);
      return;
    }
    try {
      tasks.put(task);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the number of tasks that threw an exception. Each one is a defect of the program. */
  long failedTasks() {
    return failedTasks;
  }

  private void run() {
    List<Runnable> batch = new ArrayList<>(MAX_BATCH_TASKS);
    long nextTickNanos = System.nanoTime();
    while (!stopped) {
      try {
        long waitNanos = nextTickNanos - System.nanoTime();
        Runnable first = tasks.poll(Math.max(0, waitNanos), TimeUnit.NANOSECONDS);
        if (first != null) {
          batch.add(first);
          tasks.drainTo(batch, MAX_BATCH_TASKS - 1);
        }
        batch.forEach(this::runWithDeferred);
        batch.clear();
        if (System.nanoTime() - nextTickNanos >= 0) {
          runWithDeferred(tick);
          nextTickNanos = System.nanoTime() + TICK_INTERVAL_NANOS;
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void runWithDeferred(Runnable task) {
    runGuarded(task);
    while (!deferred.isEmpty()) {
      runGuarded(deferred.removeFirst());
    }
  }

  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      failedTasks++;
      LOG.error(KeyValueLine.event("task-failed").with("error", e), e);
    }
  }

  @Override
  public void close() {
    stopped = true;
    thread.interrupt();
    try {
      thread.join(STOP_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
