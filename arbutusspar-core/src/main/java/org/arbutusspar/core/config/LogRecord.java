package org.arbutusspar.core.config;

import java.util.List;
import java.util.Objects;
import org.apache.commons.lang3.Validate;

/** A record of the configuration stream on the platform's log. */
public sealed interface LogRecord {

  /**
   * A set of edits that takes effect as a whole or not at all.
   *
   * @param id identity of the change
   * @param author who published it, for operators to read
   * @param edits at least one edit, each of another object
   */
  record Change(ChangeId id, String author, List<ObjectEdit> edits) implements LogRecord {

    /** Most edits in one change. */
    public static final int MAX_EDITS = 5_000;

    /** Checks the components and copies the list. */
    public Change {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(author, "author");
      edits = List.copyOf(edits);
      Validate.inclusiveBetween(1, MAX_EDITS, edits.size(), "a change has 1 to 5000 edits");
      long keys = edits.stream().map(ObjectEdit::key).distinct().count();
      Validate.isTrue(keys == edits.size(), "a change edits an object at most once");
    }
  }

  /**
   * The whole configuration at an offset, from which a reader of a truncated log can start.
   *
   * @param state the configuration after the record at {@code state.revision()}
   */
  record Snapshot(ConfigState state) implements LogRecord {

    /** Checks the component. */
    public Snapshot {
      Objects.requireNonNull(state, "state");
    }
  }

  /** A record that does not concern the configuration, or that readers may pass over. */
  record Ignorable() implements LogRecord {}

  /**
   * A record that this version cannot read and must not pass over.
   *
   * @param reason why it cannot be read
   */
  record Unreadable(String reason) implements LogRecord {}
}
