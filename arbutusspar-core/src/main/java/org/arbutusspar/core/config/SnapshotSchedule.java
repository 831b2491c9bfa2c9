package org.arbutusspar.core.config;

import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.Nanos;

/**
 * Decides when an instance writes a snapshot of the configuration to the log.
 *
 * <p>Each instance waits for a delay in proportion to its rank and does not write if it reads
 * another instance's snapshot first. So usually one instance writes; a second snapshot does no
 * harm.
 *
 * <p>Not thread-safe.
 */
public final class SnapshotSchedule {

  /**
   * Time after the last snapshot at which the next one is due even without changes, in nanoseconds.
   * It must be well below the retention time of the log.
   */
  public static final long MAX_INTERVAL_NANOS = Nanos.ofMillis(600_000);

  /** Number of records after the last snapshot at which the next one is due. */
  public static final long MAX_INTERVAL_RECORDS = 500;

  /** Delay of an instance for each rank below its own, in nanoseconds. */
  private static final long DELAY_PER_RANK_NANOS = Nanos.ofMillis(5_000);

  /** Time after a write attempt until it is repeated if no snapshot was read, in nanoseconds. */
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
   * Returns a schedule before the first snapshot.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the schedule
   */
  public static SnapshotSchedule create(long now) {
    return new SnapshotSchedule(now);
  }

  /**
   * Handles a snapshot that was read from the log, written by this or another instance.
   *
   * @param offset log offset of the snapshot
   * @param now current monotonic time, in nanoseconds
   */
  public void onSnapshot(long offset, long now) {
    lastSnapshotOffset = Math.max(lastSnapshotOffset, offset);
    lastSnapshotNanos = now;
    isDue = false;
    attempted = false;
  }

  /**
   * Returns whether this instance should write a snapshot now, and if so, counts it as an attempt.
   *
   * @param revision revision of the configuration in force; no snapshot is due at revision 0
   * @param rank zero-based position of this instance among the live ones
   * @param now current monotonic time, in nanoseconds
   * @return true if the caller should write a snapshot
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
