package org.arbutusspar.io;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes lines of key=value pairs, one for each event, to Log4j. Lines of one kind are bounded in
 * number for each second; a line tells how many were left out.
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
   * @param linesPerSecond most lines of one kind in a second
   * @return the log
   */
  public static EventLog create(int linesPerSecond) {
    return new EventLog(linesPerSecond);
  }

  /**
   * Writes a line, unless there were too many of its kind in this second.
   *
   * @param kind kind of the event, one of a fixed set, not null
   * @param pairs keys and values in turn
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

  /** Counts the lines of one kind in the current second. */
  private static final class Window {
    private long startNanos;
    private boolean started;
    private int written;
    private long suppressed;

    /** Returns the number of lines left out before this one, or -1 to leave this one out. */
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
