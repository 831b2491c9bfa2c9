package org.arbutusspar.core.peer;

/** Meaning of the values of a {@link SharedTable}. */
public interface RowRules {

  /**
   * Returns whether two values of a key mean the same, so that replacing one by the other is no
   * change.
   *
   * @param current the value in the table, not null
   * @param value the value that is to replace it, not null
   * @return true if the table need not change
   */
  boolean sameContent(byte[] current, byte[] value);

  /**
   * Returns whether a value that a store has returned with from a copy, or that a peer has, is
   * older than the one in the table.
   *
   * @param current the value in the table, not null
   * @param value the other value, not null
   * @return true if the table must not go back to the value; false if either one is malformed
   */
  boolean isOlder(byte[] current, byte[] value);

  /**
   * Returns whether the writer of a row appends it again all the time. A removed row that a store
   * has returned with from a copy then counts only once it is appended again.
   *
   * @return true if a row that is not appended again has no writer
   */
  boolean isRepeated();
}
