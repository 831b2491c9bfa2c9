package org.arbutusspar.io.http;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A whole answer to an HTTP call.
 *
 * @param status status code
 * @param fields header fields as they stood
 * @param body the body; not to be changed
 */
public record RawReply(int status, List<HeaderField> fields, byte[] body) {

  /** Checks the components and copies the list. */
  public RawReply {
    Objects.requireNonNull(body, "body");
    fields = List.copyOf(fields);
  }

  /**
   * Returns the first value of a header field.
   *
   * @param name name of the field in any case, not null
   * @return the value, or empty if the field is absent
   */
  public Optional<String> field(String name) {
    return first(fields, name);
  }

  /**
   * Returns the first value of a header field.
   *
   * @param fields the fields, not null
   * @param name name of the field in any case, not null
   * @return the value, or empty if the field is absent
   */
  public static Optional<String> first(List<HeaderField> fields, String name) {
    return fields.stream()
        .filter(field -> field.name().equalsIgnoreCase(name))
        .map(HeaderField::value)
        .findFirst();
  }
}
