package org.arbutusspar.core.config;

import java.util.List;
import java.util.Objects;
import org.apache.commons.lang3.Validate;

/** Record of the configuration topic on the platform's log. */
public sealed interface LogRecord {

  /**
   * Set of edits that is applied atomically.
   *
   * @param id identifier of the change
   * @param author name of the operator who published the change, for display only
   * @param edits 1 to {@link #MAX_EDITS} edits of different objects
   */
  record Change(ChangeId id, String author, List<ObjectEdit> edits) implements LogRecord {

    /** Maximum number of edits in a change. */
    public static final int MAX_EDITS = 5_000;

    /** Checks the components and copies the list. */
    public Change {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(author, "author");
      edits = List.copyOf(edits);
      Validate.inclusiveBetween(1, MAX_EDITS, edits.size(), "a change has 1 to 5000 edits");
      long keys = edits.stream().map(ObjectEdit::key).distinct().count();
      Validate.isTrue(keys == edits.size(), "a change must not edit an object more than once");
    }
  }

  /**
   * Full state of the configuration, from which a reader can start after the log was truncated.
   *
   * @param state the configuration after the record at {@code state.revision()}
   */
  record Snapshot(ConfigState state) implements LogRecord {

    /** Checks the component. */
    public Snapshot {
      Objects.requireNonNull(state, "state");
    }
  }

  /** Record that does not change the configuration, or that readers may ignore. */
  record Ignorable() implements LogRecord {}

  /**
   * Record that this version of the software cannot read and must not ignore.
   *
   * @param reason why the record cannot be read
   */
  record Unreadable(String reason) implements LogRecord {}
}
