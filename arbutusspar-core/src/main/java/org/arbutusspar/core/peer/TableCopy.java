package org.arbutusspar.core.peer;

import java.util.List;

/**
 * Rows of a {@link SharedTable} for another instance. Immutable.
 *
 * @param complete whether these are all rows, rather than those that changed since an offset
 * @param version version of the table
 * @param rows the rows
 * @param removed the removed keys; empty if the copy is complete
 */
public record TableCopy(
    boolean complete, TableVersion version, List<Row> rows, List<Removal> removed) {

  /** Copies the lists. */
  public TableCopy {
    rows = List.copyOf(rows);
    removed = List.copyOf(removed);
  }

  /**
   * A row of a table.
   *
   * @param key key of the row
   * @param value value of the row, not to be modified
   * @param offset offset of the record that last changed the row
   */
  public record Row(String key, byte[] value, long offset) {}

  /**
   * A removed key.
   *
   * @param key the key
   * @param offset offset of the record that removed it
   */
  public record Removal(String key, long offset) {}
}
