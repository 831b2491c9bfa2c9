package org.arbutusspar.core.flow;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import org.arbutusspar.core.id.RequestKey;

/** Timers of requests, ordered by time. Used by the decision thread only. */
final class Timers {

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::nanos));

  private Timers() {}

  static Timers create() {
    return new Timers();
  }

  /**
   * Adds a timer. It stays set when the request or attempt ends before it is due.
   *
   * @param nanos monotonic time at which it is due, in nanoseconds
   * @param kind kind of timer
   * @param key key of the request
   * @param attempt number of the attempt for {@link Kind#HEDGE}, else 0
   */
  void set(long nanos, Kind kind, RequestKey key, int attempt) {
    timers.add(new Timer(nanos, kind, key, attempt));
  }

  /** Removes and returns the next timer that is due, or empty. */
  Optional<Timer> pollDue(long now) {
    Timer first = timers.peek();
    return first != null && first.nanos() <= now ? Optional.of(timers.remove()) : Optional.empty();
  }

  /** Kinds of timers. */
  enum Kind {
    /** The deadline of the request. */
    DEADLINE,
    /** The end of the wait for a late response to a non-repeatable request. */
    LATE_WAIT_END,
    /** The time at which a hedge is sent if the attempt is still running. */
    HEDGE
  }

  /**
   * A timer of a request.
   *
   * @param nanos monotonic time at which it is due, in nanoseconds
   * @param kind kind of timer
   * @param key key of the request
   * @param attempt number of the attempt for {@link Kind#HEDGE}, else 0
   */
  record Timer(long nanos, Kind kind, RequestKey key, int attempt) {}
}
