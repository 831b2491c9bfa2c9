package org.arbutusspar.core.config;

import org.apache.commons.lang3.Validate;

/**
 * Identity of a change, drawn at random by the operator's tool, so that an append whose answer was
 * lost can be found on the log.
 *
 * @param value 8 to 64 letters, digits or hyphens
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
