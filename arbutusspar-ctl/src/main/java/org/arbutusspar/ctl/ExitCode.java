package org.arbutusspar.ctl;

/** Exit codes of the command line. */
enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** A request was not answered, a change was rejected, or no log has the request. */
  FAILED(1),
  /** The command line or an input is invalid; nothing was sent or published. */
  USAGE(2),
  /** The platform's log or an instance could not be reached, or did not respond in time. */
  UNREACHABLE(3),
  /** An answer was corrupt, incomplete, or belonged to another request. */
  WRONG_ANSWER(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
