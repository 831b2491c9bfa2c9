package org.arbutusspar.core.flow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.arbutusspar.core.Invariant;
import org.arbutusspar.core.id.WorkspaceId;

/**
 * Queue that shares a service fairly between workspaces and orders each workspace's requests by
 * deadline.
 *
 * <p>It uses start-time fair queueing. Each workspace has a virtual time, which advances by the
 * predicted duration of each polled request divided by the share of the workspace. The workspace
 * with the lowest virtual time is polled next. A workspace that was idle continues at the current
 * virtual time: it gets no credit for idle time, and other workspaces use its share during that
 * time. Within a workspace, requests that have already run a stage go before those that have not.
 */
final class FairQueue implements StageQueue {

  /** Number of workspace queues above which empty ones are removed, to bound memory. */
  private static final int MAX_WORKSPACE_QUEUES = 4_096;

  private static final Comparator<QueueEntry> STARTED_THEN_DEADLINE =
      Comparator.comparing((QueueEntry e) -> !e.isStarted())
          .thenComparingLong(e -> e.request().request().deadlineNanos());

  private final Map<WorkspaceId, WorkspaceQueue> queues = new HashMap<>();
  private final PriorityQueue<WorkspaceQueue> backlogged =
      new PriorityQueue<>(Comparator.comparingDouble(q -> q.virtualTime));
  private double currentVirtualTime;
  private int size;

  private FairQueue() {}

  /** Returns an empty queue. */
  static FairQueue create() {
    return new FairQueue();
  }

  @Override
  public void add(QueueEntry entry) {
    WorkspaceQueue queue =
        queues.computeIfAbsent(entry.workspace().id(), id -> new WorkspaceQueue());
    if (queue.waiting == 0) {
      removeFromHeap(queue);
      queue.share = entry.workspace().share();
      queue.virtualTime = Math.max(queue.virtualTime, currentVirtualTime);
    }
    queue.entries.add(entry);
    queue.waiting++;
    if (!queue.inHeap) {
      queue.inHeap = true;
      backlogged.add(queue);
    }
    size++;
  }

  @Override
  public Optional<QueueEntry> poll() {
    while (!backlogged.isEmpty()) {
      WorkspaceQueue queue = backlogged.poll();
      queue.inHeap = false;
      QueueEntry entry = queue.pollWaiting();
      if (entry != null) {
        decrementSizes(queue, entry);
        queue.virtualTime = Math.max(queue.virtualTime, currentVirtualTime);
        currentVirtualTime = queue.virtualTime;
        queue.virtualTime += entry.predictedMillis() / queue.share;
        addToHeapIfWaiting(queue);
        return Optional.of(entry);
      }
    }
    removeIdleQueues();
    return Optional.empty();
  }

  @Override
  public void putBack(QueueEntry entry) {
    WorkspaceQueue queue = queues.get(entry.workspace().id());
    if (queue != null) {
      removeFromHeap(queue);
      queue.virtualTime -= entry.predictedMillis() / queue.share;
    }
    add(entry);
  }

  @Override
  public void remove(QueueEntry entry) {
    WorkspaceQueue queue = queues.get(entry.workspace().id());
    if (queue == null || entry.isRemoved()) {
      return;
    }
    entry.markRemoved();
    decrementSizes(queue, entry);
  }

  @Override
  public int size() {
    return size;
  }

  private void decrementSizes(WorkspaceQueue queue, QueueEntry entry) {
    queue.waiting--;
    size--;
    Invariant.require(queue.waiting >= 0 && size >= 0, "queue sizes are not negative");
  }

  /** Removes a queue from the heap. Required before its virtual time, the heap's key, changes. */
  private void removeFromHeap(WorkspaceQueue queue) {
    if (queue.inHeap) {
      backlogged.remove(queue);
      queue.inHeap = false;
    }
  }

  private void addToHeapIfWaiting(WorkspaceQueue queue) {
    if (queue.waiting > 0 && !queue.inHeap) {
      queue.inHeap = true;
      backlogged.add(queue);
    }
  }

  private void removeIdleQueues() {
    if (queues.size() > MAX_WORKSPACE_QUEUES) {
      queues.values().removeIf(q -> q.waiting == 0);
    }
  }

  /** Waiting requests of one workspace. */
  private static final class WorkspaceQueue {
    private final PriorityQueue<QueueEntry> entries = new PriorityQueue<>(STARTED_THEN_DEADLINE);
    private int share = 1;
    private int waiting;
    private boolean inHeap;
    private double virtualTime;

    /** Removes and returns the first entry that is not marked as removed, or null if none. */
    private QueueEntry pollWaiting() {
      QueueEntry entry = entries.poll();
      while (entry != null && entry.isRemoved()) {
        entry = entries.poll();
      }
      return entry;
    }
  }
}
