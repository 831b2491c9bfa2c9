package org.arbutusspar.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.http.Exchange;

/** Thrown when a request cannot be understood or its key opens nothing; it was not run. */
final class BadRequestException extends RuntimeException {

  private static final long serialVersionUID = 1L;
  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;

  private final int status;

  private BadRequestException(int status, String message) {
    super(message, null, false, false);
    this.status = status;
  }

  static BadRequestException malformed(String message) {
    return new BadRequestException(BAD_REQUEST, message);
  }

  static BadRequestException unauthorized() {
    return new BadRequestException(UNAUTHORIZED, "key is missing or opens no workspace");
  }

  /** Answers an exchange with the mistake. */
  void replyTo(Exchange exchange) {
    ObjectNode node = Mappers.json().createObjectNode();
    node.put("outcome", "not_run").put("reason", "bad_request").put("error", getMessage());
    Map<String, String> headers =
        status == UNAUTHORIZED ? Map.of("WWW-Authenticate", "Bearer") : Map.of();
    exchange.reply(status, headers, node.toString());
  }
}
