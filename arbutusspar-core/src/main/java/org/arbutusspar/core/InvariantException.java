package org.arbutusspar.core;

/** Thrown when something that must always hold does not; always a fault of the program. */
public final class InvariantException extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what must hold
   */
  public InvariantException(String message) {
    super("invariant violated: " + message);
  }
}
