package org.arbutusspar.core.flow;

import java.util.Objects;

/**
 * How an attempt ended without an answer.
 *
 * @param kind what happened
 * @param message detail for the log; never text of a user
 */
public record AttemptFailure(Kind kind, String message) {

  /** Checks the components. */
  public AttemptFailure {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(message, "message");
  }

  /** Kinds of failures. */
  public enum Kind {
    /** No byte was handed over: the connection was refused or could not be opened. */
    NOT_SENT,
    /** The upstream answered that it takes no call now. */
    REFUSED,
    /** The upstream answered that the call itself is wrong. */
    REJECTED,
    /** The upstream answered that it failed. */
    ERROR,
    /** The connection was lost, or the stream ended early, after bytes were handed over. */
    LOST,
    /** The connection carried nothing any more while a new one to the same replica works. */
    SILENT,
    /** The answer could not be decoded or names another request. */
    INVALID
  }
}
