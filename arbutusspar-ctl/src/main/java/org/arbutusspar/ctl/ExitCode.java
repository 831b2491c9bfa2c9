package org.arbutusspar.ctl;

/** Exit codes of the command line. */
enum ExitCode {
  /** All went well. */
  OK(0),
  /** A request got no answer, or a change was rejected. */
  FAILED(1),
  /** The command line or a folder holds a mistake; nothing was done. */
  USAGE(2),
  /** The log or an instance could not be reached, or did not answer in time. */
  UNREACHABLE(3),
  /** An answer was wrong: crossed, cut or doubled. */
  WRONG_ANSWER(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
