package org.arbutusspar.core.config;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.arbutusspar.core.Nanos;
import org.junit.jupiter.api.Test;

/**
 * Guards against snapshots that are never written, that are written without a configuration, or
 * that several instances write at the same time.
 */
class SnapshotScheduleTest {

  private final SnapshotSchedule schedule = SnapshotSchedule.create(0);

  @Test
  void noSnapshotIsWrittenWithoutConfiguration() {
    assertFalse(schedule.tryStartWrite(0, 0, SnapshotSchedule.MAX_INTERVAL_NANOS));
  }

  @Test
  void rankZeroWritesAtOnceAndRetriesOnlyAfterTheInterval() {
    long due = SnapshotSchedule.MAX_INTERVAL_NANOS;
    assertTrue(schedule.tryStartWrite(5, 0, due));
    assertFalse(schedule.tryStartWrite(5, 0, due + 1));
    assertTrue(schedule.tryStartWrite(5, 0, due + Nanos.ofMillis(10_000)));
  }

  @Test
  void higherRankWaitsAndDoesNotWriteAfterAnotherSnapshot() {
    assertFalse(schedule.tryStartWrite(SnapshotSchedule.MAX_INTERVAL_RECORDS, 2, 0));
    assertFalse(
        schedule.tryStartWrite(SnapshotSchedule.MAX_INTERVAL_RECORDS, 2, Nanos.ofMillis(9_000)));
    schedule.onSnapshot(SnapshotSchedule.MAX_INTERVAL_RECORDS, Nanos.ofMillis(9_500));
    assertFalse(
        schedule.tryStartWrite(SnapshotSchedule.MAX_INTERVAL_RECORDS, 2, Nanos.ofMillis(20_000)));
  }
}
