package org.arbutusspar.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.balancing.LoadReport;
import org.arbutusspar.core.flow.Action;
import org.arbutusspar.core.id.AttemptId;

/**
 * One replica on virtual time. It runs a limited number of calls concurrently and queues further
 * calls in the order of their arrival. {@link PolicyRun} schedules the end of each running call.
 */
final class FakeReplica {

  /**
   * Relative increase of the call time of a model engine whose slots are all in use. The increase
   * grows linearly with the number of further running calls.
   */
  private static final double FULL_BATCH_SLOWDOWN = 0.5;

  private final ListedReplica listed;
  private final ServiceModel model;
  private final Deque<Call> waiting = new ArrayDeque<>();
  private int running;
  private double slowFactor = 1;
  private boolean dead;

  private FakeReplica(ListedReplica listed, ServiceModel model) {
    this.listed = listed;
    this.model = model;
  }

  static FakeReplica create(ListedReplica listed, ServiceModel model) {
    return new FakeReplica(listed, model);
  }

  /**
   * Cost model of the replicas of a service.
   *
   * @param slots maximum number of concurrent calls
   * @param baseMillis duration of a call of zero units, in milliseconds
   * @param perUnitMillis additional duration for each unit of the cost driver, in milliseconds
   * @param slowsWithLoad whether calls take longer the more calls run, as on a batching model
   *     engine
   */
  record ServiceModel(int slots, double baseMillis, double perUnitMillis, boolean slowsWithLoad) {}

  /**
   * A call.
   *
   * @param instance index of the instance that sent it
   * @param attempt id of the attempt
   * @param send action that sent it
   */
  record Call(int instance, AttemptId attempt, Action.Send send) {}

  ListedReplica listed() {
    return listed;
  }

  /** Sets the factor by which calls that start from now on take longer; 1 is the normal speed. */
  void setSlowFactor(double factor) {
    slowFactor = factor;
  }

  /** Sets whether the replica is dead. A replica that dies drops its queued and running calls. */
  void setDead(boolean value) {
    dead = value;
    if (dead) {
      waiting.clear();
      running = 0;
    }
  }

  boolean isDead() {
    return dead;
  }

  LoadReport report() {
    return new LoadReport(running, waiting.size(), false);
  }

  /** Accepts a call; returns true if it runs now, false if it was queued. */
  boolean enqueue(Call call) {
    if (running < model.slots()) {
      running++;
      return true;
    }
    waiting.addLast(call);
    return false;
  }

  /** Ends a running call; returns the queued call that takes its slot, or null if there is none. */
  Call endCall() {
    Call next = waiting.pollFirst();
    if (next == null) {
      running--;
    }
    return next;
  }

  /** Removes a queued call; returns false if no queued call has the attempt id. */
  boolean removeWaiting(AttemptId attempt) {
    return waiting.removeIf(call -> call.attempt().equals(attempt));
  }

  /**
   * Returns the duration of a call under the present load and faults.
   *
   * @param send action that sent the call
   * @return the duration, in milliseconds
   */
  double durationMillis(Action.Send send) {
    double units = send.data().units(send.service());
    double unloadedMillis = model.baseMillis() + model.perUnitMillis() * units;
    double batchFactor =
        model.slowsWithLoad()
            ? 1 + FULL_BATCH_SLOWDOWN * Math.max(0, running - 1) / model.slots()
            : 1;
    return unloadedMillis * batchFactor * slowFactor;
  }
}
