package org.arbutusspar.core.stage;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;
import org.arbutusspar.core.Nanos;

/**
 * How many pieces a gatherer starts in a second while others wait, and how many arrive.
 *
 * <p>Load pattern: results fill the memory of the replicas. The replicas are idle then, so that the
 * time of a call says nothing about how fast the queue gets shorter; what has been started lately
 * does.
 */
final class StartRate {

  /** A second holds three rounds of calls of a stage, and follows a change soon enough. */
  private static final long WINDOW_NANOS = Nanos.ofMillis(1_000);

  private static final double WINDOW_SECONDS = Nanos.toMillis(WINDOW_NANOS) / 1_000;

  private final Deque<Sample> samples = new ArrayDeque<>();
  private long started;
  private long startedLate;
  private long arrivedInTime;
  private boolean backlogged;
  private long backloggedSince;

  /** Notes whether pieces are left waiting now. */
  void backlog(boolean waiting, long now) {
    if (waiting && !backlogged) {
      backloggedSince = now;
    }
    backlogged = waiting;
  }

  /**
   * Notes that pieces have been started.
   *
   * @param count number of pieces
   * @param late how many of them belong to requests that cannot be in time any more
   * @param now current time
   */
  void started(int count, int late, long now) {
    add(new Sample(now, count, late, 0));
  }

  /** Notes that pieces of requests which can still be in time have arrived. */
  void arrivedInTime(int count, long now) {
    add(new Sample(now, 0, 0, count));
  }

  private void add(Sample sample) {
    samples.add(sample);
    count(sample, 1);
  }

  private void count(Sample sample, int sign) {
    started += sign * sample.started();
    startedLate += sign * sample.startedLate();
    arrivedInTime += sign * sample.arrivedInTime();
  }

  /** Returns pieces a second, or empty if some have not been waiting all the while. */
  OptionalDouble perSecond(long now) {
    removeExpired(now);
    return isMeasured(now) ? OptionalDouble.of(started / WINDOW_SECONDS) : OptionalDouble.empty();
  }

  /**
   * Returns late pieces a second, as far as those that arrive in time leave room, or empty if some
   * have not been waiting all the while.
   */
  OptionalDouble latePerSecond(long now) {
    removeExpired(now);
    long lateStarts = Math.max(startedLate, started - arrivedInTime);
    return isMeasured(now)
        ? OptionalDouble.of(lateStarts / WINDOW_SECONDS)
        : OptionalDouble.empty();
  }

  private boolean isMeasured(long now) {
    return backlogged && now - backloggedSince >= WINDOW_NANOS;
  }

  private void removeExpired(long now) {
    while (!samples.isEmpty() && now - samples.getFirst().at() >= WINDOW_NANOS) {
      count(samples.removeFirst(), -1);
    }
  }

  private record Sample(long at, int started, int startedLate, int arrivedInTime) {}
}
