package org.arbutusspar.core.peer;

/**
 * How far an instance has read a topic. Immutable.
 *
 * <p>Many records repeat what the table already holds. A copy that was read up to {@code
 * changeOffset} therefore equals one that was read up to {@code offset}.
 *
 * @param offset offset up to which the topic has been read, exclusive; -1 if nothing has been read
 * @param changeOffset offset after the last record that changed the table; -1 if nothing has been
 *     read
 */
public record TableVersion(long offset, long changeOffset) {

  /** Version of a table of which nothing has been read. */
  public static final TableVersion NONE = new TableVersion(-1, -1);
}
