package org.arbutusspar.core;

/** Thrown when an invariant does not hold. It always indicates a bug, never bad input. */
public final class InvariantException extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message statement of the invariant that does not hold
   */
  public InvariantException(String message) {
    super("invariant violated: " + message);
  }
}
