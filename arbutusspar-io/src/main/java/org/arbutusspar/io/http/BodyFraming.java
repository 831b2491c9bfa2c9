package org.arbutusspar.io.http;

import java.util.List;
import java.util.Locale;

/** How the end of a response body is marked on the connection. */
public enum BodyFraming {
  /** The header states the number of bytes. */
  LENGTH,
  /** The body consists of chunks, of which the last one is empty. */
  CHUNKED,
  /** The body ends when the peer closes the connection. */
  UNTIL_CLOSE;

  /**
   * Returns the framing of a response.
   *
   * @param fields header fields of the response as they were received, not null
   * @return the framing of its body
   */
  public static BodyFraming of(List<HeaderField> fields) {
    boolean chunked =
        RawReply.first(fields, "Transfer-Encoding")
            .filter(value -> value.toLowerCase(Locale.ROOT).endsWith("chunked"))
            .isPresent();
    if (chunked) {
      return CHUNKED;
    }
    return RawReply.first(fields, "Content-Length").isPresent() ? LENGTH : UNTIL_CLOSE;
  }

  /** Returns the name in lower case with hyphens, as it is logged. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
