package org.arbutusspar.io.platform;

import java.util.List;
import java.util.Objects;

/**
 * Response to one read of the log.
 *
 * @param first offset of the oldest record that the log still retains
 * @param next offset that the next appended record will get
 * @param records the records, ordered by offset; they start after the requested offset if the log
 *     no longer retains older ones
 */
public record LogPage(long first, long next, List<Entry> records) {

  /** Copies the list. */
  public LogPage {
    records = List.copyOf(records);
  }

  /**
   * A record of the log.
   *
   * @param offset offset of the record
   * @param data text of the record
   */
  public record Entry(long offset, String data) {

    /** Checks that the text is not null. */
    public Entry {
      Objects.requireNonNull(data, "data");
    }
  }
}
