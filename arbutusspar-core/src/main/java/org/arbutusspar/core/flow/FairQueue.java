package org.arbutusspar.core.flow;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.arbutusspar.core.Invariant;
import org.arbutusspar.core.id.WorkspaceId;

/**
 * Queue that is fair between workspaces and ordered by deadline within each.
 *
 * <p>Start-time fair queueing: each workspace has a virtual time that advances by the predicted
 * duration of what it ran, divided by its share; the workspace with the least virtual time runs
 * next. A workspace that was idle starts at the current virtual time, so it gains no claim while
 * idle and idle shares are used by the others. Requests that have already run a stage go before
 * those of the same workspace that have not.
 */
final class FairQueue implements StageQueue {

  private static final int MAX_IDLE_LANES = 4_096;

  private static final Comparator<QueueEntry> BY_URGENCY =
      Comparator.comparing((QueueEntry e) -> !e.isStarted())
          .thenComparingLong(e -> e.request().request().deadlineNanos());

  private final Map<WorkspaceId, Lane> lanes = new HashMap<>();
  private final PriorityQueue<Lane> backlogged =
      new PriorityQueue<>(Comparator.comparingDouble(l -> l.virtualTime));
  private double virtualNow;
  private int size;

  private FairQueue() {}

  /** Returns an empty queue. */
  static FairQueue create() {
    return new FairQueue();
  }

  @Override
  public void add(QueueEntry entry) {
    Lane lane = lanes.computeIfAbsent(entry.workspace().id(), id -> new Lane());
    if (lane.live == 0) {
      dequeue(lane);
      lane.share = entry.workspace().share();
      lane.virtualTime = Math.max(lane.virtualTime, virtualNow);
    }
    lane.entries.add(entry);
    lane.live++;
    if (!lane.queued) {
      lane.queued = true;
      backlogged.add(lane);
    }
    size++;
  }

  @Override
  public Optional<QueueEntry> poll() {
    while (!backlogged.isEmpty()) {
      Lane lane = backlogged.poll();
      lane.queued = false;
      QueueEntry entry = lane.next();
      if (entry != null) {
        take(lane, entry);
        lane.virtualTime = Math.max(lane.virtualTime, virtualNow);
        virtualNow = lane.virtualTime;
        lane.virtualTime += entry.predictedMillis() / lane.share;
        requeue(lane);
        return Optional.of(entry);
      }
    }
    forgetIdleLanes();
    return Optional.empty();
  }

  @Override
  public void putBack(QueueEntry entry) {
    Lane lane = lanes.get(entry.workspace().id());
    if (lane != null) {
      dequeue(lane);
      lane.virtualTime -= entry.predictedMillis() / lane.share;
    }
    add(entry);
  }

  @Override
  public void remove(QueueEntry entry) {
    Lane lane = lanes.get(entry.workspace().id());
    if (lane == null || entry.isRemoved()) {
      return;
    }
    entry.markRemoved();
    take(lane, entry);
  }

  @Override
  public int size() {
    return size;
  }

  private void take(Lane lane, QueueEntry entry) {
    lane.live--;
    size--;
    Invariant.require(lane.live >= 0 && size >= 0, "queue sizes are not negative");
  }

  /** Takes a lane out of the heap, so that its virtual time may change. */
  private void dequeue(Lane lane) {
    if (lane.queued) {
      backlogged.remove(lane);
      lane.queued = false;
    }
  }

  private void requeue(Lane lane) {
    if (lane.live > 0 && !lane.queued) {
      lane.queued = true;
      backlogged.add(lane);
    }
  }

  private void forgetIdleLanes() {
    if (lanes.size() > MAX_IDLE_LANES) {
      lanes.values().removeIf(l -> l.live == 0);
    }
  }

  /** The waiting requests of one workspace. */
  private static final class Lane {
    private final PriorityQueue<QueueEntry> entries = new PriorityQueue<>(BY_URGENCY);
    private int share = 1;
    private int live;
    private boolean queued;
    private double virtualTime;

    /** Returns the next entry that was not removed, or null. */
    private QueueEntry next() {
      QueueEntry entry = entries.poll();
      while (entry != null && entry.isRemoved()) {
        entry = entries.poll();
      }
      return entry;
    }
  }
}
