package org.arbutusspar.core.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import org.apache.commons.lang3.Validate;

/**
 * Folds the log's records into the configuration in force. Every instance that folds the same log
 * reaches the same state, and no state is ever replaced by one with a lower revision.
 *
 * <p>A reader whose next record the log no longer holds buffers what it reads until a snapshot
 * closes the gap: one that covers all records before the oldest record in the buffer. Not safe for
 * use by several threads.
 */
public final class ConfigFold {

  /** Most records that are buffered while a snapshot is awaited. */
  static final int MAX_BUFFERED = 20_000;

  private final Deque<OffsetRecord> buffered = new ArrayDeque<>();
  private ConfigState state;
  private String blockedReason = "";

  private ConfigFold(ConfigState state) {
    this.state = state;
  }

  /** Returns a fold that starts before the first record. */
  public static ConfigFold create() {
    return new ConfigFold(ConfigState.EMPTY);
  }

  /** Returns the configuration in force. */
  public ConfigState state() {
    return state;
  }

  /** Returns why later records cannot be folded, or an empty text. */
  public String blockedReason() {
    return blockedReason;
  }

  /** Returns the offset from which the log should be read next. */
  public long nextOffset() {
    return buffered.isEmpty() ? state.revision() + 1 : buffered.getLast().offset() + 1;
  }

  /**
   * Folds one record. Records at or before the revision are passed over.
   *
   * @param offset the record's offset, from 1
   * @param record the record, not null
   * @return what became of a change, if the record brought one into force or rejected it
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
   * Adopts a state that a fellow instance or a snapshot record states, if it is newer.
   *
   * @param candidate the state, not null
   * @return true if it came into force
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
      // The log was truncated past what is buffered, so a snapshot could no longer use it.
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
