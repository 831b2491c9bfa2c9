package org.arbutusspar.io.config;

import java.util.List;
import org.arbutusspar.core.config.ConfigObject;

/**
 * Result of reading a configuration folder.
 *
 * @param objects the configuration objects; possibly incomplete if there are problems
 * @param problems all problems found, ordered by file and line
 */
public record FolderResult(List<ConfigObject> objects, List<ConfigProblem> problems) {

  /** Copies the lists. */
  public FolderResult {
    objects = List.copyOf(objects);
    problems = List.copyOf(problems);
  }

  /** Returns whether no problem was found. */
  public boolean isValid() {
    return problems.isEmpty();
  }
}
