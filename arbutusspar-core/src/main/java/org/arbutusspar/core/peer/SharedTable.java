package org.arbutusspar.core.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.lang3.Validate;

/**
 * The newest row of each key of a topic, filled from the store or from a copy of a peer.
 *
 * <p>Load pattern: most records of a topic repeat the row that they replace, such as the heartbeats
 * of replicas, and hundreds of instances need the table. The table keeps the offset of the last
 * record that changed anything, so that a peer can tell from two numbers whether its own copy is up
 * to date, and needs only the rows that changed since.
 *
 * <p>A table never steps back: a record or a copy at a lower offset than the table's has no effect.
 * If the store returns from a copy, its rows are those of an earlier time. A row of it replaces
 * that of the table only if it is not older. A removed key whose writer repeats its row stays
 * removed until the row is appended again.
 *
 * <p>Offsets are {@link StorePosition}s. Not thread-safe.
 */
public final class SharedTable {

  /** Maximum number of removed keys that are remembered for copies. */
  private static final int MAX_REMOVALS = 1_024;

  private final RowRules rules;
  private final Map<String, Row> rows = new HashMap<>();

  /** Offset of the record that removed a key, by key, in the order of the removals. */
  private final Map<String, Long> removals = new LinkedHashMap<>();

  /** Offset of the record that removes a key, by key, while removals are held. */
  private final Map<String, Long> heldRemovals = new HashMap<>();

  private long nextOffset = -1;
  private long changeOffset = -1;

  /** Lowest offset since which all removals are remembered. */
  private long firstCopyOffset = Long.MAX_VALUE;

  /** End of the topic when it was read after the last return of the store, -1 if there was none. */
  private long returnedAt = -1;

  private boolean holdingRemovals;

  private SharedTable(RowRules rules) {
    this.rules = rules;
  }

  /**
   * Returns an empty table.
   *
   * @param rules meaning of the values, not null
   * @return the table
   */
  public static SharedTable create(RowRules rules) {
    return new SharedTable(Objects.requireNonNull(rules, "rules"));
  }

  /** Returns the offset from which to read next, or -1 if nothing has been read. */
  public long offset() {
    return nextOffset;
  }

  /**
   * Returns the version for peers. While removals are held, its offset does not pass them, so that
   * peers that rely on this table receive them later.
   */
  public TableVersion version() {
    long settled =
        heldRemovals.values().stream().mapToLong(Long::longValue).min().orElse(nextOffset);
    return new TableVersion(Math.min(settled, nextOffset), changeOffset);
  }

  /** Returns the value of a key, or empty if there is none. */
  public Optional<byte[]> value(String key) {
    return Optional.ofNullable(rows.get(key)).map(row -> row.value);
  }

  /** Returns the offset of the record that last changed a row, or -1 if there is no such row. */
  public long rowOffset(String key) {
    Row row = rows.get(key);
    return row == null ? -1 : row.changedAt;
  }

  /** Returns the value of each key. */
  public Map<String, byte[]> values() {
    Map<String, byte[]> values = new HashMap<>();
    rows.forEach((key, row) -> values.put(key, row.value));
    return values;
  }

  /**
   * Applies records that were read from {@link #offset} on.
   *
   * @param records the records in the order of their offsets, not null
   * @param endOffset offset after the last record
   * @return whether the table has changed
   */
  public boolean append(List<TableRecord> records, long endOffset) {
    long from = nextOffset;
    boolean changed = false;
    for (TableRecord record : records) {
      if (record.offset() >= from) {
        changed |= apply(record);
      }
    }
    nextOffset = Math.max(nextOffset, endOffset);
    return changed;
  }

  /**
   * Replaces the table by the newest record of each key. The records may be newer than the offset,
   * since they are read in pages. Has no effect if the table has been read farther.
   *
   * @param records the newest record of each key, not null
   * @param endOffset end of the topic before the first page was read
   * @return whether the table has changed
   */
  public boolean replace(List<TableRecord> records, long endOffset) {
    if (endOffset < nextOffset) {
      return false;
    }
    boolean returned = StorePosition.isLaterEra(endOffset, nextOffset);
    if (returned) {
      returnedAt = endOffset;
    }
    Set<String> newest = new HashSet<>();
    records.forEach(record -> newest.add(record.key()));
    boolean changed = false;
    for (String key : List.copyOf(rows.keySet())) {
      if (!newest.contains(key)) {
        changed |= remove(key, endOffset - 1);
      }
    }
    for (TableRecord record : records) {
      boolean outdated = returned && (isRemoved(record.key()) || keepsNewer(record));
      changed |= !outdated && apply(record);
    }
    if (nextOffset < 0) {
      changeOffset = endOffset;
      firstCopyOffset = endOffset;
    }
    nextOffset = endOffset;
    return changed;
  }

  /** Returns whether a key was removed, and only a record that is appended again revokes that. */
  private boolean isRemoved(String key) {
    return rules.isRepeated() && !rows.containsKey(key) && removals.containsKey(key);
  }

  /** Returns whether the row of a record's key is newer than the record, which it then outlasts. */
  private boolean keepsNewer(TableRecord record) {
    Row current = rows.get(record.key());
    boolean newer =
        current != null
            && record.value().isPresent()
            && rules.isOlder(current.value, record.value().get());
    if (newer) {
      confirm(current, record.offset());
    }
    return newer;
  }

  private boolean apply(TableRecord record) {
    Row current = rows.get(record.key());
    if (current != null && current.newestAt >= record.offset()) {
      return false;
    }
    if (record.value().isEmpty()) {
      return applyRemoval(record);
    }
    heldRemovals.remove(record.key());
    byte[] value = record.value().get();
    if (current != null && rules.sameContent(current.value, value)) {
      confirm(current, record.offset());
      current.value = value;
      return false;
    }
    rows.put(record.key(), new Row(value, record.offset()));
    removals.remove(record.key());
    markChanged(record.offset());
    return true;
  }

  /**
   * Records a record that leaves a row as it is. The first one since a return, and each one while
   * removals are held after it, counts as a change for peers, which may have taken another row from
   * the copy that the store returned with.
   */
  private void confirm(Row row, long offset) {
    row.newestAt = offset;
    if (row.changedAt < returnedAt || holdingRemovals && returnedAt >= 0) {
      row.changedAt = offset;
      markChanged(offset);
    }
  }

  /**
   * Applies a record that removes a key. After a return it counts as a change also if there is no
   * such row, since peers may have one.
   */
  private boolean applyRemoval(TableRecord record) {
    if (rows.containsKey(record.key())) {
      return remove(record.key(), record.offset());
    }
    if (returnedAt >= 0) {
      rememberRemoval(record.key(), record.offset());
      markChanged(record.offset());
    }
    return false;
  }

  /** Removes a row, or defers that while removals are held. Returns whether it was removed now. */
  private boolean remove(String key, long offset) {
    if (holdingRemovals) {
      heldRemovals.putIfAbsent(key, offset);
      return false;
    }
    rows.remove(key);
    rememberRemoval(key, offset);
    markChanged(offset);
    return true;
  }

  private void rememberRemoval(String key, long offset) {
    removals.remove(key);
    removals.put(key, offset);
    while (removals.size() > MAX_REMOVALS) {
      String oldest = removals.keySet().iterator().next();
      firstCopyOffset = Math.max(firstCopyOffset, removals.remove(oldest) + 1);
    }
  }

  private void markChanged(long offset) {
    changeOffset = Math.max(changeOffset, offset + 1);
  }

  /** Defers removals until {@link #releaseRemovals}. */
  public void holdRemovals() {
    holdingRemovals = true;
  }

  /**
   * Applies the deferred removals, except those of keys that have a newer record.
   *
   * @return whether the table has changed
   */
  public boolean releaseRemovals() {
    holdingRemovals = false;
    Map<String, Long> held = new HashMap<>(heldRemovals);
    heldRemovals.clear();
    boolean changed = false;
    for (Map.Entry<String, Long> removal : held.entrySet()) {
      changed |= rows.containsKey(removal.getKey()) && remove(removal.getKey(), removal.getValue());
    }
    return changed;
  }

  /**
   * Returns the rows that a peer lacks.
   *
   * @param since offset up to which the peer has read, -1 if it has read nothing
   * @return the rows and removals since then; all rows if not all removals are remembered
   */
  public TableCopy copySince(long since) {
    boolean complete = since < firstCopyOffset;
    List<TableCopy.Row> copied = new ArrayList<>();
    rows.forEach(
        (key, row) -> {
          if (complete || row.changedAt >= since) {
            copied.add(new TableCopy.Row(key, row.value, row.changedAt));
          }
        });
    List<TableCopy.Removal> removed = new ArrayList<>();
    removals.forEach(
        (key, offset) -> {
          if (!complete && offset >= since) {
            removed.add(new TableCopy.Removal(key, offset));
          }
        });
    return new TableCopy(complete, version(), copied, removed);
  }

  /**
   * Applies the copy of a peer that has read farther. Of the copy of a peer that holds back
   * removals, only the rows that this table lacks are applied, since its offset does not pass the
   * removals.
   *
   * @param copy rows that changed since the offset of this table or an earlier one, or all rows;
   *     not null
   * @return whether anything of the copy was applied
   */
  public boolean merge(TableCopy copy) {
    Validate.isTrue(copy.complete() || nextOffset >= 0, "an empty table needs a complete copy");
    if (copy.version().offset() <= nextOffset) {
      return mergeNewerRows(copy);
    }
    boolean returned = StorePosition.isLaterEra(copy.version().offset(), nextOffset);
    if (copy.complete() && returned) {
      retainRows(copy);
    } else if (copy.complete()) {
      rows.clear();
      removals.clear();
      heldRemovals.clear();
      firstCopyOffset = copy.version().offset();
    }
    for (TableCopy.Row row : copy.rows()) {
      // A peer that had not read farther before a return may pass on a row of the copy.
      if (keepsNewer(new TableRecord(row.key(), Optional.of(row.value()), row.offset()))) {
        continue;
      }
      rows.put(row.key(), new Row(row.value(), row.offset()));
      removals.remove(row.key());
      heldRemovals.remove(row.key());
    }
    for (TableCopy.Removal removal : copy.removed()) {
      rows.remove(removal.key());
      heldRemovals.remove(removal.key());
      rememberRemoval(removal.key(), removal.offset());
    }
    nextOffset = copy.version().offset();
    changeOffset = Math.max(changeOffset, copy.version().changeOffset());
    return true;
  }

  /**
   * Applies the rows of a copy that are newer than what this table has read, and leaves its offset
   * as it is.
   */
  private boolean mergeNewerRows(TableCopy copy) {
    boolean changed = false;
    for (TableCopy.Row row : copy.rows()) {
      Row current = rows.get(row.key());
      boolean unread =
          row.offset() >= nextOffset
              && StorePosition.era(row.offset()) == StorePosition.era(nextOffset);
      if (unread && (current == null || current.newestAt < row.offset())) {
        rows.put(row.key(), new Row(row.value(), row.offset()));
        removals.remove(row.key());
        heldRemovals.remove(row.key());
        markChanged(row.offset());
        changed = true;
      }
    }
    return changed;
  }

  /** Removes the rows that a complete copy lacks, and remembers them as removed. */
  private void retainRows(TableCopy copy) {
    Set<String> copied = new HashSet<>();
    copy.rows().forEach(row -> copied.add(row.key()));
    for (String key : List.copyOf(rows.keySet())) {
      if (!copied.contains(key)) {
        rows.remove(key);
        heldRemovals.remove(key);
        rememberRemoval(key, copy.version().offset() - 1);
      }
    }
    firstCopyOffset = copy.version().offset();
  }

  /**
   * Advances this table to the version of a peer if both have the same rows.
   *
   * @param peerVersion version of the peer's table, not null
   * @return true if this table has all rows of the peer's; false if the peer's has changed since
   */
  public boolean follow(TableVersion peerVersion) {
    if (nextOffset < peerVersion.changeOffset()) {
      return false;
    }
    nextOffset = Math.max(nextOffset, peerVersion.offset());
    return true;
  }

  /** Value of a key. */
  private static final class Row {
    /** The newest value, which may differ from earlier ones in what its rules do not count. */
    private byte[] value;

    /** Offset of the record that last changed the value. */
    private long changedAt;

    /** Offset of the newest record of the key. */
    private long newestAt;

    private Row(byte[] value, long offset) {
      this.value = value;
      this.changedAt = offset;
      this.newestAt = offset;
    }
  }
}
