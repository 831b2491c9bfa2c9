package org.arbutusspar.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * Result of one request as its caller sees it.
 *
 * @param id full identifier (prefix and suffix) that the last exchange used
 * @param outcome as the instance reported it, such as {@code answered}, {@code not_run}, {@code
 *     failed} or {@code unknown}; {@code unreachable} if no instance could be reached
 * @param reason why there is no answer; empty if there is one
 * @param body JSON body of the response, if there is any
 * @param tries number of HTTP exchanges with instances, queries for the outcome included
 * @param corrupt whether the response is malformed, or its streamed parts do not add up to the
 *     final answer
 */
record CallResult(
    String id, String outcome, String reason, Optional<JsonNode> body, int tries, boolean corrupt) {

  static final String ANSWERED = "answered";
  static final String NOT_RUN = "not_run";
  static final String FAILED = "failed";
  static final String UNKNOWN = "unknown";
  static final String UNREACHABLE = "unreachable";

  boolean isAnswered() {
    return outcome.equals(ANSWERED);
  }
}
