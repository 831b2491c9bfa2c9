package org.arbutusspar.io;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs events as lines of key=value pairs through Log4j. The number of lines of each kind is
 * limited per second; a later line of the kind {@code lines-left-out} reports how many were
 * suppressed.
 */
public final class EventLog {

  private static final Logger LOG = LogManager.getLogger("events");
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final int linesPerSecond;
  private final ConcurrentMap<String, Window> windows = new ConcurrentHashMap<>();

  private EventLog(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /**
   * Returns a log.
   *
   * @param linesPerSecond maximum number of lines of each kind per second
   * @return the log
   */
  public static EventLog create(int linesPerSecond) {
    return new EventLog(linesPerSecond);
  }

  /**
   * Logs an event, unless the limit for its kind is reached in the current second.
   *
   * @param kind kind of the event, from a fixed set since a counter is kept for each, not null
   * @param pairs alternating keys and values
   */
  public void write(String kind, Object... pairs) {
    Window window = windows.computeIfAbsent(kind, k -> new Window());
    long suppressed = window.tryWrite(System.nanoTime(), linesPerSecond);
    if (suppressed < 0) {
      return;
    }
    KeyValueLine line = KeyValueLine.event(kind);
    for (int i = 0; i + 1 < pairs.length; i += 2) {
      line.with(String.valueOf(pairs[i]), pairs[i + 1]);
    }
    if (suppressed > 0) {
      LOG.info(KeyValueLine.event("lines-left-out").with("kind", kind).with("count", suppressed));
    }
    LOG.info(line);
  }

  /** Number of lines of one kind that were written in the current second. */
  private static final class Window {
    private long startNanos;
    private boolean started;
    private int written;
    private long suppressed;

    /**
     * Returns the number of lines suppressed since the last written one, or -1 if this line must be
     * suppressed too.
     */
    private synchronized long tryWrite(long nowNanos, int maxLines) {
      if (!started || nowNanos - startNanos >= SECOND_NANOS) {
        startNanos = nowNanos;
        started = true;
        written = 0;
      }
      if (written >= maxLines) {
        suppressed++;
        return -1;
      }
      written++;
      long suppressedBefore = suppressed;
      suppressed = 0;
      return suppressedBefore;
    }
  }
}
