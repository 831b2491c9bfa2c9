package org.arbutusspar.io.http;

import java.util.Objects;

/**
 * A header field as it stands on the wire.
 *
 * @param name its name
 * @param value its value
 */
public record HeaderField(String name, String value) {

  /** Checks the components. */
  public HeaderField {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(value, "value");
  }
}
