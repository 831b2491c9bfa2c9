package org.arbutusspar.ctl;

import java.util.Objects;

/** Thrown when a command fails; carries the exit code of the process. */
final class CtlException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  CtlException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = Objects.requireNonNull(exitCode, "exitCode");
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
