package org.arbutusspar.core.flow;

import java.util.Objects;

/**
 * One entry of the decision log.
 *
 * @param kind kind of decision
 * @param request identifier of the request; {@code -} if the decision concerns none
 * @param workspace workspace of the request; {@code -} if the decision concerns none
 * @param step service, or step such as {@code admission}, at which it was made
 * @param peer replica or instance concerned; {@code -} if none
 * @param detail reason and values, as key=value pairs
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
    /** A request got an outcome without an answer. */
    REFUSE,
    /** An attempt was sent to a replica. */
    ROUTE,
    /** A stage was retried after an attempt failed. */
    RETRY,
    /** A hedge was sent: a second attempt of a stage whose first attempt is slow. */
    COPY,
    /** A response of an attempt that is no longer active was dropped. */
    DROP,
    /** A replica was ejected: it is not selected for a time after failures. */
    EJECT,
    /** A request was forwarded to its home. */
    FORWARD
  }
}
