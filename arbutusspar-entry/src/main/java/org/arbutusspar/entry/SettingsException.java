package org.arbutusspar.entry;

import java.util.List;

/** Thrown when settings are missing, malformed or unknown. Lists all problems at once. */
public final class SettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  private final List<String> problems;

  /**
   * Creates the exception.
   *
   * @param problems one message for each problem, starting with the name of the setting, not null
   */
  public SettingsException(List<String> problems) {
    super(String.join("; ", problems));
    this.problems = List.copyOf(problems);
  }

  /** Returns one message for each problem. */
  public List<String> problems() {
    return problems;
  }
}
