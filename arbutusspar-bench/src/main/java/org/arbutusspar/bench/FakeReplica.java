package org.arbutusspar.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.balancing.LoadReport;
import org.arbutusspar.core.flow.Action;
import org.arbutusspar.core.id.AttemptId;

/** One replica on virtual time: a number of calls at once, and a queue before them. */
final class FakeReplica {

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
   * How long a service's calls take.
   *
   * @param slots calls at once
   * @param baseMillis time of a call without its driver
   * @param perUnitMillis time for each unit of the driver
   * @param slowsWithLoad whether calls that run together slow each other down
   */
  record ServiceModel(int slots, double baseMillis, double perUnitMillis, boolean slowsWithLoad) {}

  /** A call of an instance. */
  record Call(int instance, AttemptId attempt, Action.Send send) {}

  ListedReplica listed() {
    return listed;
  }

  void setSlowFactor(double factor) {
    slowFactor = factor;
  }

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

  /** Takes a call; returns whether it runs at once. */
  boolean enqueue(Call call) {
    if (running < model.slots()) {
      running++;
      return true;
    }
    waiting.addLast(call);
    return false;
  }

  /** Ends a running call; returns the one that runs in its place, or null. */
  Call endCall() {
    Call next = waiting.pollFirst();
    if (next == null) {
      running--;
    }
    return next;
  }

  /** Takes back a call that waits; returns whether it was found. */
  boolean removeWaiting(AttemptId attempt) {
    return waiting.removeIf(call -> call.attempt().equals(attempt));
  }

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
