package org.arbutusspar.io.http;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.eclipse.jetty.http.HttpFields;

/**
 * A complete response to an {@link HttpCall}.
 *
 * @param status status code
 * @param headers header fields
 * @param body the body, decoded from UTF-8
 */
public record HttpReply(int status, HttpFields headers, String body) {

  private static final int MIN_REDIRECT_STATUS = 300;
  private static final int MIN_SUCCESS_STATUS = 200;

  /** Checks that no component is null. */
  public HttpReply {
    Objects.requireNonNull(headers, "headers");
    Objects.requireNonNull(body, "body");
  }

  /**
   * Returns a response whose body is given as UTF-8 bytes.
   *
   * @param status status code
   * @param headers header fields, not null
   * @param body the body, not null
   * @return the response
   */
  static HttpReply of(int status, HttpFields headers, byte[] body) {
    return new HttpReply(status, headers, new String(body, StandardCharsets.UTF_8));
  }

  /** Returns whether the status code is in the range 200 to 299. */
  public boolean isSuccess() {
    return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
  }
}
