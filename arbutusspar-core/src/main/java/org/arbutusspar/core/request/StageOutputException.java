package org.arbutusspar.core.request;

/** Thrown when the output of a stage is not valid for the stage or the request. */
public final class StageOutputException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message why the output is not valid
   */
  public StageOutputException(String message) {
    super(message);
  }
}
