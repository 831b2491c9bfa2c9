package org.arbutusspar.core.flow;

import java.util.Objects;

/**
 * How an attempt ended without a valid response.
 *
 * @param kind kind of failure
 * @param message detail for the log; contains no text of a user
 */
public record AttemptFailure(Kind kind, String message) {

  /** Checks the components. */
  public AttemptFailure {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(message, "message");
  }

  /** Kinds of failures, named in the decision log. */
  public enum Kind {
    /** No byte was sent: the connection was refused or could not be opened. */
    NOT_SENT,
    /** The upstream responded that it accepts no call at present. */
    REFUSED,
    /** The upstream responded that the call itself is invalid, so a retry would not help. */
    REJECTED,
    /** The upstream responded that it failed to run the call. */
    ERROR,
    /** The connection was lost, or the stream ended early, after bytes were sent. */
    LOST,
    /** The connection stopped carrying data, while a new one to the same replica works. */
    SILENT,
    /** The response could not be decoded or names another request. */
    INVALID
  }
}
