package org.arbutusspar.io;

import java.util.Objects;

/** Failure of an adapter, with the step and the peer at which it arose. */
public final class StepException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final String step;
  private final String peer;
  private final boolean mayHaveBeenSent;

  /**
   * Creates the exception.
   *
   * @param step the step that failed, not null
   * @param peer the process at the other end, not null
   * @param message what happened, not null
   * @param cause the cause, may be null
   */
  public StepException(String step, String peer, String message, Throwable cause) {
    this(step, peer, message, cause, true);
  }

  /**
   * Creates the exception.
   *
   * @param step the step that failed, not null
   * @param peer the process at the other end, not null
   * @param message what happened, not null
   * @param cause the cause, may be null
   * @param mayHaveBeenSent whether a byte may have been handed to the peer
   */
  public StepException(
      String step, String peer, String message, Throwable cause, boolean mayHaveBeenSent) {
    super(step + " at " + peer + ": " + message, cause);
    this.step = Objects.requireNonNull(step, "step");
    this.peer = Objects.requireNonNull(peer, "peer");
    this.mayHaveBeenSent = mayHaveBeenSent;
  }

  /** Returns whether a byte may have been handed to the peer. */
  public boolean mayHaveBeenSent() {
    return mayHaveBeenSent;
  }

  /** Returns the step that failed. */
  public String step() {
    return step;
  }

  /** Returns the process at the other end. */
  public String peer() {
    return peer;
  }
}
