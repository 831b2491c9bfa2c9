package org.arbutusspar.io;

import java.util.Objects;

/** Failure of an I/O operation, with the name of the step that failed and the remote process. */
public final class StepException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final String step;
  private final String peer;
  private final boolean mayHaveBeenSent;

  /**
   * Creates an exception for a failure after which the peer may have received data.
   *
   * @param step name of the step that failed, not null
   * @param peer address or name of the remote process, not null
   * @param message description of the failure, not null
   * @param cause the cause, may be null
   */
  public StepException(String step, String peer, String message, Throwable cause) {
    this(step, peer, message, cause, true);
  }

  /**
   * Creates an exception.
   *
   * @param step name of the step that failed, not null
   * @param peer address or name of the remote process, not null
   * @param message description of the failure, not null
   * @param cause the cause, may be null
   * @param mayHaveBeenSent whether any byte may have been sent to the peer
   */
  public StepException(
      String step, String peer, String message, Throwable cause, boolean mayHaveBeenSent) {
    super(step + " at " + peer + ": " + message, cause);
    this.step = Objects.requireNonNull(step, "step");
    this.peer = Objects.requireNonNull(peer, "peer");
    this.mayHaveBeenSent = mayHaveBeenSent;
  }

  /** Returns whether any byte may have been sent to the peer. */
  public boolean mayHaveBeenSent() {
    return mayHaveBeenSent;
  }

  /** Returns the name of the step that failed. */
  public String step() {
    return step;
  }

  /** Returns the address or name of the remote process. */
  public String peer() {
    return peer;
  }
}
