package org.arbutusspar.io.http;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.eclipse.jetty.http.HttpFields;

/**
 * A whole answer to an HTTP call.
 *
 * @param status status code
 * @param headers header fields
 * @param body the body as UTF-8 text
 */
public record HttpReply(int status, HttpFields headers, String body) {

  private static final int FIRST_REDIRECT = 300;
  private static final int FIRST_SUCCESS = 200;

  /** Checks the components. */
  public HttpReply {
    Objects.requireNonNull(headers, "headers");
    Objects.requireNonNull(body, "body");
  }

  /**
   * Returns a reply whose body is given as bytes.
   *
   * @param status status code
   * @param headers header fields, not null
   * @param body the body, not null
   * @return the reply
   */
  static HttpReply of(int status, HttpFields headers, byte[] body) {
    return new HttpReply(status, headers, new String(body, StandardCharsets.UTF_8));
  }

  /** Returns whether the status says success. */
  public boolean isSuccess() {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
  }
}
