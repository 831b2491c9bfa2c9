package org.arbutusspar.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.balancing.LoadReport;

/** One replica: a bounded number of calls at once, a bounded queue, and faults. */
final class ReplicaStandin {

  private static final int MAX_WAITING = 1_000;
  private static final double FULL_BATCH_SLOWDOWN = 0.5;

  private final ListedReplica listed;
  private final ReplicaKind kind;
  private final boolean instant;
  private final ScheduledExecutorService timer;
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private final PrefixCache cache = PrefixCache.create();
  private final FaultSettings faults = new FaultSettings();
  private int running;

  private ReplicaStandin(
      ListedReplica listed, ReplicaKind kind, boolean instant, ScheduledExecutorService timer) {
    this.listed = listed;
    this.kind = kind;
    this.instant = instant;
    this.timer = timer;
  }

  static ReplicaStandin create(
      ListedReplica listed, ReplicaKind kind, boolean instant, ScheduledExecutorService timer) {
    return new ReplicaStandin(listed, kind, instant, timer);
  }

  ListedReplica listed() {
    return listed;
  }

  ReplicaKind kind() {
    return kind;
  }

  FaultSettings faults() {
    return faults;
  }

  PrefixCache cache() {
    return cache;
  }

  synchronized LoadReport report() {
    return new LoadReport(running, waiting.size(), faults.leaving);
  }

  /**
   * Starts a call as soon as a slot is free.
   *
   * @return false if the queue is full
   */
  boolean startCall(Runnable call) {
    synchronized (this) {
      if (running >= kind.slots()) {
        if (waiting.size() >= MAX_WAITING) {
          return false;
        }
        waiting.addLast(call);
        return true;
      }
      running++;
    }
    call.run();
    return true;
  }

  /** Frees the slot of a call that ended. */
  void endCall() {
    Runnable next;
    synchronized (this) {
      next = waiting.pollFirst();
      if (next == null) {
        running--;
      }
    }
    if (next != null) {
      next.run();
    }
  }

  /** Returns how long a part of a call takes now, in milliseconds. */
  synchronized double currentMillis(double unloadedMillis) {
    if (instant) {
      return 0;
    }
    double batchFactor = 1 + FULL_BATCH_SLOWDOWN * Math.max(0, running - 1) / kind.slots();
    return unloadedMillis * faults.slowFactor * (kind == ReplicaKind.GENERATE ? batchFactor : 1);
  }

  /** Runs something after a time; at once if the time is none. */
  void runAfter(double delayMillis, Runnable action) {
    if (delayMillis <= 0) {
      action.run();
    } else {
      timer.schedule(action, (long) (delayMillis * 1_000), TimeUnit.MICROSECONDS);
    }
  }

  /** What is wrong with a replica. */
  static final class FaultSettings {
    private volatile double slowFactor = 1;
    private volatile boolean leaving;
    private volatile boolean silent;
    private volatile long silentBeforeMillis;
    private volatile int cutEvery;
    private volatile int failEvery;
    private int calls;

    void setSlowFactor(double value) {
      slowFactor = value;
    }

    void setLeaving(boolean value) {
      leaving = value;
    }

    void setSilent(boolean value) {
      silent = value;
    }

    void setCutEvery(int value) {
      cutEvery = value;
    }

    void setFailEvery(int value) {
      failEvery = value;
    }

    /** Makes every connection that exists now silent for good. */
    void silenceConnections() {
      silentBeforeMillis = System.currentTimeMillis();
    }

    boolean isSilent(long connectedAtMillis) {
      return silent || connectedAtMillis <= silentBeforeMillis;
    }

    boolean isLeaving() {
      return leaving;
    }

    /** Counts a call and returns how it is to go wrong. */
    synchronized CallFault nextCallFault() {
      calls++;
      if (failEvery > 0 && calls % failEvery == 0) {
        return CallFault.FAIL;
      }
      return cutEvery > 0 && calls % cutEvery == 0 ? CallFault.CUT : CallFault.NONE;
    }
  }

  /** How one call goes wrong. */
  enum CallFault {
    /** It does not. */
    NONE,
    /** Status 500. */
    FAIL,
    /** The connection is cut in the middle, after the work was done. */
    CUT
  }
}
