package org.arbutusspar.core.config;

import org.apache.commons.lang3.Validate;

/**
 * Unique identifier of a change, drawn at random by the operator's command-line tool. It serves to
 * find a change on the log after the response to its append was lost.
 *
 * @param value text of 8 to 64 ASCII letters, digits or hyphens
 */
public record ChangeId(String value) {

  /** Checks the text. */
  public ChangeId {
    Validate.isTrue(
        value != null && value.matches("[A-Za-z0-9-]{8,64}"),
        "change id must be 8 to 64 letters, digits or hyphens");
  }

  @Override
  public String toString() {
    return value;
  }
}
