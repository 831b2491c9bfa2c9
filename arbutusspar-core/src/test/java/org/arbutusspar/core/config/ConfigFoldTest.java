package org.arbutusspar.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards the fold of the configuration log: conflicting or repeated changes, unreadable records,
 * truncation of the log and lagging peers must neither undo an accepted change nor leave a gap.
 */
class ConfigFoldTest {

  private final ConfigFold fold = ConfigFold.create();

  @Test
  void ofTwoChangesOnTheSameBaseOnlyTheFirstIsAccepted() {
    fold.offer(1, Samples.put("one", 0, Samples.workspace("w", 1)));
    Optional<ChangeResult> first = fold.offer(2, Samples.put("two", 1, Samples.workspace("w", 2)));
    Optional<ChangeResult> second =
        fold.offer(3, Samples.put("three", 1, Samples.workspace("w", 3)));
    assertTrue(first.orElseThrow().accepted());
    assertFalse(second.orElseThrow().accepted());
    assertEquals("workspace/w is at revision 2, the change is based on 1", second.get().reason());
    assertEquals(2, fold.state().all(Workspace.class).get(0).share());
    assertEquals(3, fold.state().revision());
  }

  @Test
  void changeAppendedTwiceTakesEffectOnce() {
    LogRecord.Change create = Samples.put("create", 0, Samples.workspace("w", 1));
    fold.offer(1, create);
    fold.offer(2, Samples.delete("delete", 1, Samples.workspace("w", 1).key()));
    assertEquals(Optional.empty(), fold.offer(3, create));
    assertTrue(fold.state().objects().isEmpty(), "the second copy must not create w again");
  }

  @Test
  void changeThatLeavesDanglingReferenceIsRejected() {
    Optional<ChangeResult> result = fold.offer(1, Samples.put("pipe", 0, Samples.pipeline("chat")));
    assertFalse(result.orElseThrow().accepted());
    assertEquals("pipeline/chat refers to missing service enc", result.get().reason());
  }

  @Test
  void unreadableRecordStopsFoldAndKeepsConfiguration() {
    fold.offer(1, Samples.put("one", 0, Samples.workspace("w", 1)));
    fold.offer(2, new LogRecord.Unreadable("format 2 is newer than 1"));
    fold.offer(3, Samples.put("two", 1, Samples.workspace("w", 2)));
    assertEquals(1, fold.state().revision());
    assertEquals("record 2 cannot be read: format 2 is newer than 1", fold.blockedReason());
    ConfigState peerState = new ConfigState(3, fold.state().objects(), fold.state().recent());
    assertTrue(fold.adopt(peerState), "the state of a peer that can read the record is adopted");
    assertEquals("", fold.blockedReason());
  }

  @Test
  void snapshotClosesGapOfTruncatedLog() {
    ConfigFold fullReader = ConfigFold.create();
    fullReader.offer(1, Samples.put("one", 0, Samples.workspace("a", 1)));
    final ConfigState afterFirstRecord = fullReader.state();
    final LogRecord second = Samples.put("two", 0, Samples.workspace("b", 1));
    fullReader.offer(2, second);
    fullReader.offer(3, new LogRecord.Snapshot(afterFirstRecord));
    assertEquals(
        2,
        fullReader.state().objects().size(),
        "a snapshot of an earlier state must not undo changes");

    fold.offer(2, second);
    assertEquals("records from 1 to 1 are no longer on the log", fold.blockedReason());
    fold.offer(3, new LogRecord.Snapshot(afterFirstRecord));
    assertEquals("", fold.blockedReason());
    assertEquals(fullReader.state(), fold.state());
  }

  @Test
  void snapshotOlderThanGapIsNotAdopted() {
    ConfigFold fullReader = ConfigFold.create();
    fullReader.offer(1, Samples.put("one", 0, Samples.workspace("a", 1)));
    final ConfigState afterFirstRecord = fullReader.state();
    fold.offer(3, Samples.put("three", 0, Samples.workspace("c", 1)));
    fold.offer(4, new LogRecord.Snapshot(afterFirstRecord));
    assertEquals(
        0, fold.state().revision(), "the snapshot must not be adopted, since record 2 is missing");
    assertFalse(fold.blockedReason().isEmpty());
  }

  @Test
  void stateWithLowerRevisionIsNotAdopted() {
    fold.offer(1, Samples.put("one", 0, Samples.workspace("w", 1)));
    final ConfigState afterFirstRecord = fold.state();
    fold.offer(2, Samples.put("two", 1, Samples.workspace("w", 2)));
    assertFalse(fold.adopt(afterFirstRecord));
    assertEquals(2, fold.state().revision());
  }

  @Test
  void recordAtOrBeforeRevisionIsIgnored() {
    fold.offer(1, Samples.put("one", 0, Samples.workspace("w", 1)));
    assertEquals(
        Optional.empty(), fold.offer(1, Samples.put("other", 0, Samples.workspace("x", 1))));
    assertEquals(2, fold.nextOffset());
  }
}
