package org.arbutusspar.io.http;

import java.util.Objects;

/**
 * An HTTP header field, unchanged from the wire.
 *
 * @param name the name, with its original letter case
 * @param value the value
 */
public record HeaderField(String name, String value) {

  /** Checks that no component is null. */
  public HeaderField {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(value, "value");
  }
}
