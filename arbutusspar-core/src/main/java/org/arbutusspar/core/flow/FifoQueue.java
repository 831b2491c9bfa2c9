package org.arbutusspar.core.flow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** Queue in order of arrival, whatever the workspace: the baseline for {@link FairQueue}. */
final class FifoQueue implements StageQueue {

  private final Deque<QueueEntry> entries = new ArrayDeque<>();
  private int size;
  private double waitingMillis;

  private FifoQueue() {}

  /** Returns an empty queue. */
  static FifoQueue create() {
    return new FifoQueue();
  }

  @Override
  public void add(QueueEntry entry) {
    entries.addLast(entry);
    count(entry, 1);
  }

  @Override
  public Optional<QueueEntry> poll() {
    QueueEntry entry = entries.pollFirst();
    while (entry != null && entry.isRemoved()) {
      entry = entries.pollFirst();
    }
    if (entry != null) {
      count(entry, -1);
    }
    return Optional.ofNullable(entry);
  }

  @Override
  public void putBack(QueueEntry entry) {
    entries.addFirst(entry);
    count(entry, 1);
  }

  @Override
  public void remove(QueueEntry entry) {
    if (!entry.isRemoved()) {
      entry.markRemoved();
      count(entry, -1);
    }
  }

  @Override
  public int size() {
    return size;
  }

  @Override
  public double waitingMillis() {
    return Math.max(0, waitingMillis);
  }

  private void count(QueueEntry entry, int sign) {
    size += sign;
    waitingMillis = size == 0 ? 0 : waitingMillis + sign * entry.predictedMillis();
  }
}
