package org.arbutusspar.standins;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.balancing.LoadReport;

/**
 * One simulated replica. It runs a limited number of calls concurrently, queues further calls in
 * the order of their arrival, rejects calls when the queue is full, and has injected faults.
 */
final class ReplicaStandin {

  private static final int MAX_WAITING = 1_000;

  /**
   * Relative increase of the call time of a model engine whose slots are all in use. The increase
   * grows linearly with the number of further running calls.
   */
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
   * Runs a call now if a slot is free, and queues it otherwise. Each call that was accepted must be
   * ended with {@link #endCall()}.
   *
   * @param call starts the call
   * @return false if the queue is full and the call was rejected
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

  /** Ends a running call. Its slot passes to the first queued call, if there is one. */
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

  /**
   * Returns the duration of a call, or of a part of it, under the present load and faults.
   *
   * @param unloadedMillis duration on a healthy replica that runs no other call, in milliseconds
   * @return the duration, in milliseconds; 0 if the replica responds without delay
   */
  synchronized double currentMillis(double unloadedMillis) {
    if (instant) {
      return 0;
    }
    double batchFactor = 1 + FULL_BATCH_SLOWDOWN * Math.max(0, running - 1) / kind.slots();
    return unloadedMillis * faults.slowFactor * (kind == ReplicaKind.GENERATE ? batchFactor : 1);
  }

  /**
   * Runs an action after a delay.
   *
   * @param delayMillis delay in milliseconds; if it is not positive, the action runs now, in the
   *     calling thread
   * @param action the action
   */
  void runAfter(double delayMillis, Runnable action) {
    if (delayMillis <= 0) {
      action.run();
    } else {
      timer.schedule(action, (long) (delayMillis * 1_000), TimeUnit.MICROSECONDS);
    }
  }

  /** Faults that are injected into a replica. */
  static final class FaultSettings {
    private volatile double slowFactor = 1;
    private volatile boolean leaving;
    private volatile boolean silent;

    /** Connections established until this time, in milliseconds since the epoch, are silent. */
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

    /** Cuts the connection of each Nth call; 0 cuts none. */
    void setCutEvery(int value) {
      cutEvery = value;
    }

    /** Fails each Nth call with status 500; 0 fails none. */
    void setFailEvery(int value) {
      failEvery = value;
    }

    /** Stops responding on all connections that exist now. */
    void silenceConnections() {
      silentBeforeMillis = System.currentTimeMillis();
    }

    /**
     * Returns whether a request gets no response.
     *
     * @param connectedAtMillis when its connection was established, in milliseconds since the epoch
     */
    boolean isSilent(long connectedAtMillis) {
      return silent || connectedAtMillis <= silentBeforeMillis;
    }

    boolean isLeaving() {
      return leaving;
    }

    /** Counts a call and returns the fault to inject into it; a failure precedes a cut. */
    synchronized CallFault nextCallFault() {
      calls++;
      if (failEvery > 0 && calls % failEvery == 0) {
        return CallFault.FAIL;
      }
      return cutEvery > 0 && calls % cutEvery == 0 ? CallFault.CUT : CallFault.NONE;
    }
  }

  /** Fault of one call. */
  enum CallFault {
    /** The call succeeds. */
    NONE,
    /** The call gets status 500 and is not run. */
    FAIL,
    /**
     * The connection is closed although the call was run: in the middle of a stream, or in place of
     * the response of another call.
     */
    CUT
  }
}
