package org.arbutusspar.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.io.codec.Mappers;

/** Converts outcomes to the status, header fields and JSON body of HTTP responses. */
final class OutcomeJson {

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final long MILLIS_PER_SECOND = 1_000;

  private OutcomeJson() {}

  /**
   * Returns the HTTP status of an outcome.
   *
   * @param outcome the outcome, not null
   * @return the status code
   */
  static int status(Outcome outcome) {
    if (!(outcome instanceof Outcome.Refused refused)) {
      return OK;
    }
    return switch (refused.verdict()) {
      case FAILED -> BAD_GATEWAY;
      case UNKNOWN -> GATEWAY_TIMEOUT;
      case NOT_RUN ->
          switch (refused.reason()) {
            case NO_SUCH_TARGET -> NOT_FOUND;
            case IDENTIFIER_REUSED, IDENTIFIER_EXPIRED, NOT_KEPT -> CONFLICT;
            default -> UNAVAILABLE;
          };
    };
  }

  /**
   * Returns the header fields of an outcome: the request identifier, and Retry-After in seconds,
   * rounded up, if sending the request again may help.
   *
   * @param key key of the request, not null
   * @param outcome the outcome, not null
   * @return the fields by name
   */
  static Map<String, String> headers(RequestKey key, Outcome outcome) {
    Map<String, String> headers = new HashMap<>();
    headers.put(CallerApi.REQUEST_ID_HEADER, key.id().toString());
    if (outcome instanceof Outcome.Refused refused && refused.comeBackMillis() >= 0) {
      long seconds = (refused.comeBackMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      headers.put("Retry-After", Long.toString(seconds));
    }
    return headers;
  }

  /**
   * Returns the JSON body of an outcome.
   *
   * @param key key of the request, not null
   * @param outcome the outcome, not null
   * @param plainService whether the answer is JSON from a plain service, which is embedded as it
   *     is; otherwise it is a text
   * @return the body
   */
  static String body(RequestKey key, Outcome outcome, boolean plainService) {
    ObjectNode node = Mappers.json().createObjectNode();
    node.put("id", key.id().toString());
    if (outcome instanceof Outcome.Answered answered) {
      node.put("outcome", "answered");
      if (plainService) {
        node.putRawValue("answer", new RawValue(answered.answer()));
      } else {
        node.put("answer", answered.answer());
        node.set("documents", Mappers.json().valueToTree(answered.documents()));
      }
    } else if (outcome instanceof Outcome.Refused refused) {
      addRefused(node, refused);
    }
    node.set("costs", Mappers.json().valueToTree(outcome.costs()));
    return node.toString();
  }

  private static void addRefused(ObjectNode node, Outcome.Refused refused) {
    node.put("outcome", refused.verdict().name().toLowerCase(Locale.ROOT));
    node.put("reason", refused.reason().label());
    node.put("step", refused.origin().step());
    node.put("peer", refused.origin().peer());
    if (refused.comeBackMillis() >= 0) {
      node.put("comeBackMs", refused.comeBackMillis());
    }
  }
}
