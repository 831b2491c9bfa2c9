package org.arbutusspar.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.http.Exchange;

/**
 * Thrown when a caller's HTTP request is malformed or its API key is missing or unknown. Such a
 * request is rejected before it runs.
 */
final class BadRequestException extends RuntimeException {

  private static final long serialVersionUID = 1L;
  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;

  private final int status;

  private BadRequestException(int status, String message) {
    super(message, null, false, false);
    this.status = status;
  }

  /**
   * Returns an exception for a malformed request, which gets status 400.
   *
   * @param message what is wrong with the request, returned to the caller, not null
   * @return the exception
   */
  static BadRequestException malformed(String message) {
    return new BadRequestException(BAD_REQUEST, message);
  }

  /** Returns an exception for a request without a known API key, which gets status 401. */
  static BadRequestException unauthorized() {
    return new BadRequestException(UNAUTHORIZED, "key is missing or opens no workspace");
  }

  /**
   * Sends this error as the response of an exchange.
   *
   * @param exchange the exchange, not null
   */
  void replyTo(Exchange exchange) {
    ObjectNode node = Mappers.json().createObjectNode();
    node.put("outcome", "not_run").put("reason", "bad_request").put("error", getMessage());
    Map<String, String> headers =
        status == UNAUTHORIZED ? Map.of("WWW-Authenticate", "Bearer") : Map.of();
    exchange.reply(status, headers, node.toString());
  }
}
