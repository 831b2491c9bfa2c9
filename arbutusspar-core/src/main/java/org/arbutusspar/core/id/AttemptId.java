package org.arbutusspar.core.id;

import java.util.Objects;

/**
 * Identity of one attempt at one stage of a request.
 *
 * @param request the request
 * @param stage position of the stage, from 0
 * @param attempt number of the attempt over all stages of the request, from 1
 */
public record AttemptId(RequestKey request, int stage, int attempt) {

  /** Checks the components. */
  public AttemptId {
    Objects.requireNonNull(request, "request");
  }

  /** Returns the form that is sent to upstreams, at most 280 characters. */
  public String wireForm() {
    return request.workspace() + "/" + request.id() + "/" + stage + "/" + attempt;
  }
}
