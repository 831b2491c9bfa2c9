package org.arbutusspar.core.config;

import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.Nanos;

/**
 * Decides when an instance writes a snapshot of the configuration to the log. Instances take turns
 * by rank, so that usually one of them writes; two snapshots do no harm. Not safe for use by
 * several threads.
 */
public final class SnapshotSchedule {

  /** Longest time between two snapshots, whatever changes; to be well below the log's retention. */
  public static final long MAX_INTERVAL_NANOS = Nanos.ofMillis(600_000);

  /** Most records between two snapshots. */
  public static final long MAX_INTERVAL_RECORDS = 500;

  private static final long DELAY_PER_RANK_NANOS = Nanos.ofMillis(5_000);
  private static final long RETRY_INTERVAL_NANOS = Nanos.ofMillis(10_000);

  private long lastSnapshotOffset;
  private long lastSnapshotNanos;
  private long dueSinceNanos;
  private boolean isDue;
  private long lastAttemptNanos;
  private boolean attempted;

  private SnapshotSchedule(long now) {
    lastSnapshotNanos = now;
  }

  /**
   * Returns a schedule that has seen no snapshot.
   *
   * @param now the time
   * @return the schedule
   */
  public static SnapshotSchedule create(long now) {
    return new SnapshotSchedule(now);
  }

  /**
   * Learns that a snapshot is on the log.
   *
   * @param offset its offset
   * @param now the time
   */
  public void onSnapshot(long offset, long now) {
    lastSnapshotOffset = Math.max(lastSnapshotOffset, offset);
    lastSnapshotNanos = now;
    isDue = false;
    attempted = false;
  }

  /**
   * Returns whether this instance should write a snapshot now.
   *
   * @param revision the configuration's revision
   * @param rank position of this instance among the live ones, from 0
   * @param now the time
   * @return true if it should; then it is taken to have tried
   */
  public boolean tryStartWrite(long revision, int rank, long now) {
    Validate.isTrue(rank >= 0, "rank must not be negative");
    boolean needed =
        revision > 0
            && (revision - lastSnapshotOffset >= MAX_INTERVAL_RECORDS
                || now - lastSnapshotNanos >= MAX_INTERVAL_NANOS);
    if (!needed) {
      isDue = false;
      return false;
    }
    if (!isDue) {
      isDue = true;
      dueSinceNanos = now;
    }
    boolean rankDelayPassed = now - dueSinceNanos >= rank * DELAY_PER_RANK_NANOS;
    boolean awaitsAttempt = attempted && now - lastAttemptNanos < RETRY_INTERVAL_NANOS;
    if (!rankDelayPassed || awaitsAttempt) {
      return false;
    }
    attempted = true;
    lastAttemptNanos = now;
    return true;
  }
}
