package org.arbutusspar.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * Processor time of a process, as Linux reports it for each of its threads. Threads that have ended
 * no longer count, so a process that ends threads shows too little.
 */
final class ProcessorTime {

  private static final double NANOS_PER_MILLI = 1e6;

  private ProcessorTime() {}

  /**
   * Returns the time that the live threads of a process have run, user and system.
   *
   * @param pid identifier of the process
   * @return the time in milliseconds
   * @throws IOException if the process does not run
   */
  static double millis(long pid) throws IOException {
    List<Path> threads;
    try (Stream<Path> entries = Files.list(Path.of("/proc", String.valueOf(pid), "task"))) {
      threads = entries.toList();
    }
    long nanos = 0;
    for (Path thread : threads) {
      nanos += runNanos(thread);
    }
    return nanos / NANOS_PER_MILLI;
  }

  /** Returns the first number of the scheduler's statistics; 0 if the thread has ended. */
  private static long runNanos(Path thread) throws IOException {
    try {
      String text = Files.readString(thread.resolve("schedstat"), StandardCharsets.US_ASCII);
      return Long.parseLong(text.substring(0, text.indexOf(' ')));
    } catch (NoSuchFileException e) {
      return 0;
    }
  }
}
