package org.arbutusspar.core.stage;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;
import org.arbutusspar.core.Nanos;

/**
 * How many pieces a gatherer starts in a second while others wait.
 *
 * <p>Load pattern: results fill the memory of the replicas. The replicas are idle then, so that the
 * time of a call says nothing about how fast the queue gets shorter; what has been started lately
 * does.
 */
final class StartRate {

  /** A second holds three rounds of calls of a stage, and follows a change soon enough. */
  private static final long WINDOW_NANOS = Nanos.ofMillis(1_000);

  private final Deque<Start> starts = new ArrayDeque<>();
  private long pieces;
  private boolean backlogged;
  private long backloggedSince;

  /** Notes whether pieces are left waiting now. */
  void backlog(boolean waiting, long now) {
    if (waiting && !backlogged) {
      backloggedSince = now;
    }
    backlogged = waiting;
  }

  /** Notes that pieces have been started. */
  void started(int count, long now) {
    starts.add(new Start(now, count));
    pieces += count;
  }

  /** Returns pieces a second, or empty if some have not been waiting all the while. */
  OptionalDouble perSecond(long now) {
    while (!starts.isEmpty() && now - starts.getFirst().at() > WINDOW_NANOS) {
      pieces -= starts.removeFirst().count();
    }
    boolean known = backlogged && now - backloggedSince >= WINDOW_NANOS;
    return known
        ? OptionalDouble.of(pieces / (Nanos.toMillis(WINDOW_NANOS) / 1_000))
        : OptionalDouble.empty();
  }

  private record Start(long at, int count) {}
}
