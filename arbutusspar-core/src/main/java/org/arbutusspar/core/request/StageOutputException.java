package org.arbutusspar.core.request;

/** Thrown when the output of a stage does not fit the request that it was sent for. */
public final class StageOutputException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what does not fit
   */
  public StageOutputException(String message) {
    super(message);
  }
}
