package org.arbutusspar.io.platform;

import java.util.List;
import java.util.Objects;

/**
 * Records read from the log.
 *
 * @param first offset of the oldest record that the log still has
 * @param next offset that the next appended record will get
 * @param records the records, in offset order; they start later than asked if older ones are gone
 */
public record LogPage(long first, long next, List<Entry> records) {

  /** Copies the list. */
  public LogPage {
    records = List.copyOf(records);
  }

  /**
   * One record.
   *
   * @param offset its offset
   * @param data its text
   */
  public record Entry(long offset, String data) {

    /** Checks the components. */
    public Entry {
      Objects.requireNonNull(data, "data");
    }
  }
}
