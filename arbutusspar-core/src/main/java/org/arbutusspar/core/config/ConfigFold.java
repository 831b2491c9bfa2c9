package org.arbutusspar.core.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import org.apache.commons.lang3.Validate;

/**
 * Folds the records of the configuration log into the configuration in force. All instances that
 * fold the same log reach the same state. A state is never replaced by one with a lower revision.
 *
 * <p>If the next record was truncated from the log, later records are buffered until the gap is
 * closed by a snapshot, or by the state of a peer, that includes all records before the first
 * buffered one.
 *
 * <p>Not thread-safe.
 */
public final class ConfigFold {

  /** Maximum number of records that are buffered until a gap is closed; the oldest are dropped. */
  static final int MAX_BUFFERED = 20_000;

  private final Deque<OffsetRecord> buffered = new ArrayDeque<>();
  private ConfigState state;
  private String blockedReason = "";

  private ConfigFold(ConfigState state) {
    this.state = state;
  }

  /** Returns a fold with an empty configuration, before the first record. */
  public static ConfigFold create() {
    return new ConfigFold(ConfigState.EMPTY);
  }

  /** Returns the configuration in force. */
  public ConfigState state() {
    return state;
  }

  /** Returns why the next record cannot be folded, or an empty text if it can. */
  public String blockedReason() {
    return blockedReason;
  }

  /** Returns the offset from which to read the log next. */
  public long nextOffset() {
    return buffered.isEmpty() ? state.revision() + 1 : buffered.getLast().offset() + 1;
  }

  /**
   * Folds the next record, or buffers it if there is a gap before it. Records at or before the
   * current revision are ignored. After an unreadable record, all records are ignored until {@link
   * #adopt} replaces the state.
   *
   * @param offset log offset of the record, at least 1
   * @param record the record, not null
   * @return result of the change, if the record contains one that was applied or rejected now
   */
  public Optional<ChangeResult> offer(long offset, LogRecord record) {
    Objects.requireNonNull(record, "record");
    Validate.isTrue(offset >= 1, "offsets start at 1");
    if (offset <= state.revision() || !blockedReason.isEmpty() && buffered.isEmpty()) {
      return Optional.empty();
    }
    if (offset == state.revision() + 1 && buffered.isEmpty()) {
      return apply(offset, record);
    }
    buffer(offset, record);
    if (record instanceof LogRecord.Snapshot snapshot) {
      adopt(snapshot.state());
    }
    return Optional.empty();
  }

  /**
   * Replaces the state by that of a peer or a snapshot, if this is newer and leaves no gap before
   * the buffered records. Then the buffered records are folded.
   *
   * @param candidate state of a peer or a snapshot, not null
   * @return true if the state was replaced
   */
  public boolean adopt(ConfigState candidate) {
    boolean closesGap =
        buffered.isEmpty() || candidate.revision() >= buffered.getFirst().offset() - 1;
    if (candidate.revision() <= state.revision() || !closesGap) {
      return false;
    }
    state = candidate;
    blockedReason = "";
    while (!buffered.isEmpty() && blockedReason.isEmpty()) {
      OffsetRecord next = buffered.removeFirst();
      if (next.offset() > state.revision()) {
        apply(next.offset(), next.record());
      }
    }
    buffered.clear();
    return true;
  }

  private void buffer(long offset, LogRecord record) {
    boolean follows = !buffered.isEmpty() && offset == buffered.getLast().offset() + 1;
    if (!follows) {
      // The log was truncated beyond the buffered records. A snapshot that closes the new gap
      // includes them.
      buffered.clear();
    }
    buffered.addLast(new OffsetRecord(offset, record));
    if (buffered.size() > MAX_BUFFERED) {
      buffered.removeFirst();
    }
    blockedReason =
        "records from "
            + (state.revision() + 1)
            + " to "
            + (buffered.getFirst().offset() - 1)
            + " are no longer on the log";
  }

  private Optional<ChangeResult> apply(long offset, LogRecord record) {
    if (record instanceof LogRecord.Unreadable unreadable) {
      blockedReason = "record " + offset + " cannot be read: " + unreadable.reason();
      return Optional.empty();
    }
    if (record instanceof LogRecord.Change change && state.resultOf(change.id()).isEmpty()) {
      state = state.after(offset, change);
      return state.resultOf(change.id());
    }
    state = state.withRevision(offset);
    return Optional.empty();
  }

  private record OffsetRecord(long offset, LogRecord record) {}
}
