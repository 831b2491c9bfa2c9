package org.arbutusspar.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.arbutusspar.io.KeyValueLine;

/**
 * Threads that encode and write what was decided. Tasks of one key run in order on one thread, so
 * that a cancellation never overtakes what it cancels.
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
   * Starts the threads.
   *
   * @param count how many, at least 1
   * @return the lanes
   */
  static KeyedExecutor start(int threadCount) {
    return new KeyedExecutor(threadCount);
  }

  /**
   * Runs a task.
   *
   * @param key tasks of equal keys run in order, not null
   * @param task the task, not null
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
