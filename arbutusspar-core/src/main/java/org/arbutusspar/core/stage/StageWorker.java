package org.arbutusspar.core.stage;

import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.placement.FailureCooldown;
import org.arbutusspar.core.placement.UpstreamReplica;

/** A replica that makes pieces, as its gatherer sees it: calls, room for results, speed, health. */
final class StageWorker {

  /** Results of another gatherer are released or expire within about this time. */
  private static final long UNACCOUNTED_MEMORY_MILLIS = 1_000;

  /** A replica that had no room is called again after this. */
  private static final long NO_MEMORY_COOLDOWN_MILLIS = 60;

  /** Weight of the newest call in the mean speed: about the last five calls count. */
  private static final double TIME_RATIO_SMOOTHING = 0.3;

  /** Bounds of the learned time over the configured one. */
  private static final double MAX_TIME_RATIO = 20;

  private static final double MIN_TIME_RATIO = 0.6;

  /** Rest after a failed call, about the fixed time of a call. */
  private static final long FIRST_COOLDOWN_MILLIS = 250;

  private static final int MAX_COOLDOWN_DOUBLINGS = 3;

  private final FailureCooldown cooldown =
      FailureCooldown.create(FIRST_COOLDOWN_MILLIS, MAX_COOLDOWN_DOUBLINGS);
  private UpstreamReplica replica;
  private boolean listed = true;
  private int callsInProgress;
  private long accountedBytes;
  private long unaccountedBytes;
  private long unaccountedUntil = Long.MIN_VALUE / 2;
  private double timeRatio = 1;

  StageWorker(UpstreamReplica replica) {
    this.replica = replica;
  }

  /** Replaces the replica's entry in the list. */
  void replica(UpstreamReplica newReplica) {
    replica = newReplica;
  }

  UpstreamReplica replica() {
    return replica;
  }

  /** Sets whether the replica may be called. */
  void listed(boolean newListed) {
    listed = newListed;
  }

  boolean isListed() {
    return listed;
  }

  /** Returns whether no call is in progress. */
  boolean isIdle() {
    return callsInProgress == 0;
  }

  boolean hasFreeSlot(int slots, long now) {
    return listed && callsInProgress < slots && !cooldown.isCoolingDown(now);
  }

  /** Returns the learned time of a call over the configured one. */
  double timeRatio() {
    return timeRatio;
  }

  /** Counts a call that begins, and the room that its results take. */
  void callStarted(long resultBytes) {
    callsInProgress++;
    accountedBytes += resultBytes;
  }

  /** Counts a call that has ended; results that were made are counted by {@link #store}. */
  void callEnded(long resultBytes) {
    callsInProgress--;
    accountedBytes -= resultBytes;
  }

  /** Counts a result that the replica keeps. */
  void store(long bytes) {
    accountedBytes += bytes;
  }

  /** Counts a result that the replica has dropped. */
  void release(long bytes) {
    accountedBytes -= bytes;
  }

  /** Returns the room taken by results that the gatherer knows of. */
  long accountedBytes() {
    return accountedBytes;
  }

  /** Returns the room taken by all results, as far as it can be told. */
  long estimatedUsedBytes(long now) {
    return accountedBytes + (now - unaccountedUntil < 0 ? unaccountedBytes : 0);
  }

  /** Takes the size of results for which there was no room: others take it for a while. */
  void onOutOfMemory(long bytes, long now) {
    if (bytes > 0) {
      reserve(bytes, UNACCOUNTED_MEMORY_MILLIS, now);
      cooldown.coolDownFor(NO_MEMORY_COOLDOWN_MILLIS, now);
    }
  }

  /** Takes the replica's own figure of the room that is taken. */
  void onMemoryReport(long bytes, long now) {
    unaccountedBytes = 0;
    reserve(Math.max(0, bytes - accountedBytes), UNACCOUNTED_MEMORY_MILLIS, now);
  }

  /** Counts room that may be taken by results of which nothing is known. */
  void reserve(long bytes, long millis, long now) {
    unaccountedBytes = (now - unaccountedUntil < 0 ? unaccountedBytes : 0) + bytes;
    unaccountedUntil = now + Nanos.ofMillis(millis);
  }

  /** Learns from a call all of whose pieces were made. */
  void updateTimeRatio(double actualOverExpected) {
    cooldown.succeeded();
    double observed = timeRatio * actualOverExpected;
    timeRatio += TIME_RATIO_SMOOTHING * (observed - timeRatio);
    timeRatio = Math.min(MAX_TIME_RATIO, Math.max(MIN_TIME_RATIO, timeRatio));
  }

  /** Rests after a failed call. */
  void onFailure(long now) {
    cooldown.failed(now);
  }
}
