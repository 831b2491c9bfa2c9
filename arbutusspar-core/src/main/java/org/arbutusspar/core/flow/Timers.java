package org.arbutusspar.core.flow;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import org.arbutusspar.core.id.RequestKey;

/** Points in time at which a request needs attention. Changed by the decision thread only. */
final class Timers {

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::nanos));

  private Timers() {}

  static Timers create() {
    return new Timers();
  }

  void set(long nanos, Kind kind, RequestKey key, int attempt) {
    timers.add(new Timer(nanos, kind, key, attempt));
  }

  /** Removes and returns the next timer that is due, or empty. */
  Optional<Timer> pollDue(long now) {
    Timer first = timers.peek();
    return first != null && first.nanos() <= now ? Optional.of(timers.remove()) : Optional.empty();
  }

  /** What a timer is for. */
  enum Kind {
    /** The request's deadline. */
    DEADLINE,
    /** The end of waiting for the late answer of a non-repeatable request. */
    LATE_WAIT_END,
    /** An attempt has become slow enough for a second copy. */
    HEDGE
  }

  /** One point in time. */
  record Timer(long nanos, Kind kind, RequestKey key, int attempt) {}
}
