package org.arbutusspar.core.id;

import java.util.Objects;

/**
 * Identifier of one attempt to run one stage of a request.
 *
 * @param request the request
 * @param stage zero-based position of the stage in the request
 * @param attempt number of the attempt, counted from 1 over all stages of the request
 */
public record AttemptId(RequestKey request, int stage, int attempt) {

  /** Checks the components. */
  public AttemptId {
    Objects.requireNonNull(request, "request");
  }

  /** Returns the text that is sent to upstreams, at most 280 characters long. */
  public String wireForm() {
    return request.workspace() + "/" + request.id() + "/" + stage + "/" + attempt;
  }
}
