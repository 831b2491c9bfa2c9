package org.arbutusspar.core.flow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Queue in order of arrival, regardless of workspace. Baseline against which {@link FairQueue} is
 * measured.
 */
final class FifoQueue implements StageQueue {

  private final Deque<QueueEntry> entries = new ArrayDeque<>();
  private int size;

  private FifoQueue() {}

  /** Returns an empty queue. */
  static FifoQueue create() {
    return new FifoQueue();
  }

  @Override
  public void add(QueueEntry entry) {
    entries.addLast(entry);
    size++;
  }

  @Override
  public Optional<QueueEntry> poll() {
    QueueEntry entry = entries.pollFirst();
    while (entry != null && entry.isRemoved()) {
      entry = entries.pollFirst();
    }
    if (entry != null) {
      size--;
    }
    return Optional.ofNullable(entry);
  }

  @Override
  public void putBack(QueueEntry entry) {
    entries.addFirst(entry);
    size++;
  }

  @Override
  public void remove(QueueEntry entry) {
    if (!entry.isRemoved()) {
      entry.markRemoved();
      size--;
    }
  }

  @Override
  public int size() {
    return size;
  }
}
