package org.arbutusspar.core.flow;

import java.util.Objects;

/**
 * One routing decision, for the log.
 *
 * @param kind what was decided
 * @param request identifier of the request; {@code -} if the decision concerns none
 * @param workspace workspace of the request; {@code -} if the decision concerns none
 * @param step service or step
 * @param peer replica or instance; {@code -} if none
 * @param detail why, as key=value pairs
 */
public record Decision(
    Kind kind, String request, String workspace, String step, String peer, String detail) {

  /** Checks the components. */
  public Decision {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(step, "step");
    Objects.requireNonNull(peer, "peer");
    Objects.requireNonNull(detail, "detail");
  }

  /** Kinds of decisions. */
  public enum Kind {
    /** A request was admitted. */
    ADMIT,
    /** A request got a final answer that is not a result. */
    REFUSE,
    /** An attempt was sent to a replica. */
    ROUTE,
    /** A stage was tried again after a failure. */
    RETRY,
    /** A second copy of a slow attempt was sent. */
    COPY,
    /** An answer was not used. */
    DROP,
    /** A replica was left alone for a while. */
    EJECT,
    /** A request was handed to its home. */
    FORWARD
  }
}
