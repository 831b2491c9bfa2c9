package org.arbutusspar.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusspar.io.KeyValueLine;

/**
 * Runs tasks on a fixed number of threads. Tasks of equal keys run on the same thread in the order
 * in which they were submitted, so that the cancellation of an attempt never runs before the
 * attempt is sent. Thread-safe.
 */
final class KeyedExecutor implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger(KeyedExecutor.class);

  private final List<ExecutorService> threads = new ArrayList<>();

  private KeyedExecutor(int threadCount) {
    for (int i = 0; i < threadCount; i++) {
      String name = "lane-" + i;
      threads.add(
          Executors.newSingleThreadExecutor(
              task -> {
                Thread thread = new Thread(task, name);
                thread.setDaemon(true);
                return thread;
              }));
    }
  }

  /**
   * Starts an executor.
   *
   * @param threadCount number of threads, at least 1
   * @return the executor, to be closed by the caller
   */
  static KeyedExecutor start(int threadCount) {
    return new KeyedExecutor(threadCount);
  }

  /**
   * Submits a task. After {@link #close} it has no effect.
   *
   * @param key key whose tasks run in order, not null
   * @param task the task, not null; an exception that it throws is logged
   */
  void run(Object key, Runnable task) {
    ExecutorService thread = threads.get(Math.floorMod(key.hashCode(), threads.size()));
    if (!thread.isShutdown()) {
      thread.execute(() -> runGuarded(task));
    }
  }

  private static void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error(KeyValueLine.event("task-failed").with("error", e), e);
    }
  }

  @Override
  public void close() {
    threads.forEach(ExecutorService::shutdownNow);
  }
}
