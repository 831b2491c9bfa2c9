package org.arbutusspar.core.stage;

import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.placement.FailureCooldown;
import org.arbutusspar.core.placement.UpstreamReplica;

/** A replica that makes pieces, as its gatherer sees it: calls, room for results, speed, health. */
final class StageWorker {

  /** Results of another gatherer are released or expire within about this time. */
  private static final long UNKNOWN_ROOM_MILLIS = 1_000;

  /** A replica that had no room is called again after this. */
  private static final long NO_ROOM_REST_MILLIS = 60;

  /** Weight of the newest call in the mean speed: about the last five calls count. */
  private static final double SPEED_WEIGHT = 0.3;

  /** Bounds of the learned time over the configured one. */
  private static final double MAX_RATIO = 20;

  private static final double MIN_RATIO = 0.6;

  /** Rest after a failed call, about the fixed time of a call. */
  private static final long FIRST_REST_MILLIS = 250;

  private static final int MAX_REST_DOUBLINGS = 3;

  private final FailureCooldown cooldown =
      FailureCooldown.create(FIRST_REST_MILLIS, MAX_REST_DOUBLINGS);
  private UpstreamReplica replica;
  private boolean listed = true;
  private int calls;
  private long usedBytes;
  private long unknownBytes;
  private long unknownUntil = Long.MIN_VALUE / 2;
  private double ratio = 1;

  StageWorker(UpstreamReplica replica) {
    this.replica = replica;
  }

  /** Replaces the replica's entry in the list. */
  void replica(UpstreamReplica fresh) {
    replica = fresh;
  }

  UpstreamReplica replica() {
    return replica;
  }

  /** Sets whether the replica may be called. */
  void listed(boolean fresh) {
    listed = fresh;
  }

  boolean isListed() {
    return listed;
  }

  /** Returns whether no call is in progress. */
  boolean isIdle() {
    return calls == 0;
  }

  boolean isFree(int slots, long now) {
    return listed && calls < slots && !cooldown.isCoolingDown(now);
  }

  /** Returns the learned time of a call over the configured one. */
  double ratio() {
    return ratio;
  }

  /** Counts a call that begins, and the room that its results take. */
  void begin(long resultBytes) {
    calls++;
    usedBytes += resultBytes;
  }

  /** Counts a call that has ended; results that were made are counted by {@link #keep}. */
  void end(long resultBytes) {
    calls--;
    usedBytes -= resultBytes;
  }

  /** Counts a result that the replica keeps. */
  void keep(long bytes) {
    usedBytes += bytes;
  }

  /** Counts a result that the replica has dropped. */
  void drop(long bytes) {
    usedBytes -= bytes;
  }

  /** Returns the room taken by results that the gatherer knows of. */
  long usedBytes() {
    return usedBytes;
  }

  /** Returns the room taken by all results, as far as it can be told. */
  long takenBytes(long now) {
    return usedBytes + (now - unknownUntil < 0 ? unknownBytes : 0);
  }

  /** Takes the size of results for which there was no room: others take it for a while. */
  void learnRefused(long bytes, long now) {
    if (bytes > 0) {
      reserve(bytes, UNKNOWN_ROOM_MILLIS, now);
      cooldown.coolDownFor(NO_ROOM_REST_MILLIS, now);
    }
  }

  /** Takes the replica's own figure of the room that is taken. */
  void learnTaken(long bytes, long now) {
    unknownBytes = 0;
    reserve(Math.max(0, bytes - usedBytes), UNKNOWN_ROOM_MILLIS, now);
  }

  /** Counts room that may be taken by results of which nothing is known. */
  void reserve(long bytes, long millis, long now) {
    unknownBytes = (now - unknownUntil < 0 ? unknownBytes : 0) + bytes;
    unknownUntil = now + Nanos.ofMillis(millis);
  }

  /** Learns from a call all of whose pieces were made. */
  void learnSpeed(double actualOverExpected) {
    cooldown.succeeded();
    double observed = ratio * actualOverExpected;
    ratio += SPEED_WEIGHT * (observed - ratio);
    ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio));
  }

  /** Rests after a failed call. */
  void failed(long now) {
    cooldown.failed(now);
  }
}
