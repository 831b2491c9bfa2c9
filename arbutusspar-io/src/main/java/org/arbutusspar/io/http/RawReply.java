package org.arbutusspar.io.http;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A complete response to a {@link RawCall}.
 *
 * @param status status code
 * @param fields header fields, unchanged
 * @param body the body, not to be modified
 */
public record RawReply(int status, List<HeaderField> fields, byte[] body) {

  /** Checks that the body is not null, and copies the list. */
  public RawReply {
    Objects.requireNonNull(body, "body");
    fields = List.copyOf(fields);
  }

  /**
   * Returns the value of the first header field of a name.
   *
   * @param name name of the field, compared without regard to case, not null
   * @return the value, or empty if the field is absent
   */
  public Optional<String> field(String name) {
    return first(fields, name);
  }

  /**
   * Returns the value of the first field of a name in a list of header fields.
   *
   * @param fields the fields, not null
   * @param name name of the field, compared without regard to case, not null
   * @return the value, or empty if the field is absent
   */
  public static Optional<String> first(List<HeaderField> fields, String name) {
    return fields.stream()
        .filter(field -> field.name().equalsIgnoreCase(name))
        .map(HeaderField::value)
        .findFirst();
  }
}
