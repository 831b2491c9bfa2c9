package org.arbutusspar.core.stage;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;
import org.arbutusspar.core.Nanos;

/**
 * Rate at which a batcher starts pieces while its queue has a backlog, measured over the last
 * second.
 *
 * <p>Load pattern: results fill the memory of the replicas. Replicas are then idle for part of the
 * time, so the queue wait cannot be estimated from the time of a call; it is estimated from the
 * measured start rate.
 */
final class StartRate {

  /**
   * Length of the measuring window. A second covers about three successive calls to a replica and
   * is short enough to follow changes of load.
   */
  private static final long WINDOW_NANOS = Nanos.ofMillis(1_000);

  private static final double WINDOW_SECONDS = Nanos.toMillis(WINDOW_NANOS) / 1_000;

  private final Deque<Sample> samples = new ArrayDeque<>();
  private long started;
  private long startedLate;
  private long arrivedInTime;
  private boolean backlogged;
  private long backloggedSince;

  /** Records whether pieces remain in the queue after the possible calls have started. */
  void backlog(boolean waiting, long now) {
    if (waiting && !backlogged) {
      backloggedSince = now;
    }
    backlogged = waiting;
  }

  /**
   * Records pieces whose call has started.
   *
   * @param count number of pieces
   * @param late number of them that were past their latest start time
   * @param now current monotonic time, in nanoseconds
   */
  void started(int count, int late, long now) {
    add(new Sample(now, count, late, 0));
  }

  /** Records pieces that arrived before their latest start time. */
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

  /** Returns the started pieces per second, or empty without a backlog for the whole window. */
  OptionalDouble perSecond(long now) {
    removeExpired(now);
    return isMeasured(now) ? OptionalDouble.of(started / WINDOW_SECONDS) : OptionalDouble.empty();
  }

  /**
   * Returns the rate at which late pieces can start: the observed one, or the total rate less the
   * arrivals in time if that is higher.
   *
   * @param now current monotonic time, in nanoseconds
   * @return late pieces per second, or empty without a backlog for the whole window
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
