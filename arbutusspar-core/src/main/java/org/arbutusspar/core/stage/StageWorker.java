package org.arbutusspar.core.stage;

import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.placement.FailureCooldown;
import org.arbutusspar.core.placement.UpstreamReplica;

/**
 * State of a replica that computes pieces, as known to its batcher: calls in progress, used result
 * memory, speed and health. Times are in nanoseconds on the monotonic clock.
 */
final class StageWorker {

  /**
   * How long memory counts as used by results of other batchers, in milliseconds. Such results are
   * released or expire within about this time.
   */
  private static final long UNACCOUNTED_MEMORY_MILLIS = 1_000;

  /** Cooldown of a replica that had not enough memory for a result, in milliseconds. */
  private static final long NO_MEMORY_COOLDOWN_MILLIS = 60;

  /** Weight of the newest call in the time ratio, which covers about the last five calls. */
  private static final double TIME_RATIO_SMOOTHING = 0.3;

  /** Bounds of the ratio of measured to configured call time. */
  private static final double MAX_TIME_RATIO = 20;

  private static final double MIN_TIME_RATIO = 0.6;

  /** Cooldown after the first failed call in milliseconds, about the fixed time of a call. */
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
  private long backoffUntil = Long.MIN_VALUE / 2;

  StageWorker(UpstreamReplica replica) {
    this.replica = replica;
  }

  /** Replaces the listed properties of the replica. */
  void replica(UpstreamReplica newReplica) {
    replica = newReplica;
  }

  UpstreamReplica replica() {
    return replica;
  }

  /** Sets whether the replica is listed and not leaving, so that it may be called. */
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
    return isCallable(now) && callsInProgress < slots && !cooldown.isCoolingDown(now);
  }

  /** Returns whether the replica is listed and has not asked for a pause that has not ended. */
  boolean isCallable(long now) {
    return listed && now - backoffUntil >= 0;
  }

  /** Prevents calls for the time that the replica has asked for. */
  void backOff(long millis, long now) {
    long until = now + Nanos.ofMillis(millis);
    backoffUntil = until - backoffUntil > 0 ? until : backoffUntil;
  }

  /** Returns the smoothed ratio of the measured to the configured time of a call. */
  double timeRatio() {
    return timeRatio;
  }

  /** Counts a call that starts, and reserves memory for its results. */
  void callStarted(long resultBytes) {
    callsInProgress++;
    accountedBytes += resultBytes;
  }

  /**
   * Counts a call that has ended, and frees the memory reserved for its results. Each computed
   * result is then counted by {@link #store}.
   */
  void callEnded(long resultBytes) {
    callsInProgress--;
    accountedBytes -= resultBytes;
  }

  /** Counts a result that the replica stores. */
  void store(long bytes) {
    accountedBytes += bytes;
  }

  /** Frees the memory of a result that the replica no longer stores. */
  void release(long bytes) {
    accountedBytes -= bytes;
  }

  /** Returns the memory used by results of this batcher, in bytes. */
  long accountedBytes() {
    return accountedBytes;
  }

  /** Returns the estimated memory used by the results of all batchers, in bytes. */
  long estimatedUsedBytes(long now) {
    return accountedBytes + (now - unaccountedUntil < 0 ? unaccountedBytes : 0);
  }

  /**
   * Records results that the replica rejected for lack of memory. Memory of their size counts as
   * used by other batchers, and a short cooldown starts.
   *
   * @param bytes size of the rejected results in bytes; 0 has no effect
   * @param now current monotonic time
   */
  void onOutOfMemory(long bytes, long now) {
    if (bytes > 0) {
      reserve(bytes, UNACCOUNTED_MEMORY_MILLIS, now);
      cooldown.coolDownFor(NO_MEMORY_COOLDOWN_MILLIS, now);
    }
  }

  /** Records the used memory that the replica reports, in bytes. */
  void onMemoryReport(long bytes, long now) {
    unaccountedBytes = 0;
    reserve(Math.max(0, bytes - accountedBytes), UNACCOUNTED_MEMORY_MILLIS, now);
  }

  /**
   * Counts memory as used by results that this batcher does not account for.
   *
   * @param bytes the memory in bytes
   * @param millis how long it counts as used, in milliseconds
   * @param now current monotonic time
   */
  void reserve(long bytes, long millis, long now) {
    unaccountedBytes = (now - unaccountedUntil < 0 ? unaccountedBytes : 0) + bytes;
    unaccountedUntil = now + Nanos.ofMillis(millis);
  }

  /**
   * Updates the time ratio from a call that computed all of its pieces; ends the failure streak.
   */
  void updateTimeRatio(double actualOverExpected) {
    cooldown.succeeded();
    double observed = timeRatio * actualOverExpected;
    timeRatio += TIME_RATIO_SMOOTHING * (observed - timeRatio);
    timeRatio = Math.min(MAX_TIME_RATIO, Math.max(MIN_TIME_RATIO, timeRatio));
  }

  /** Starts a cooldown after a failed call. */
  void onFailure(long now) {
    cooldown.failed(now);
  }
}
