package org.arbutusspar.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * What a caller learned about one request.
 *
 * @param id full identifier of the last try
 * @param outcome {@code answered}, {@code not_run}, {@code failed}, {@code unknown} or {@code
 *     unreachable}
 * @param reason why there is no answer; empty if there is one
 * @param body the final answer's JSON, if there is any
 * @param tries number of exchanges with instances
 * @param corrupt whether the parts of a stream do not make up the whole answer
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
