package org.arbutusspar.io.config;

import java.util.List;
import org.arbutusspar.core.config.ConfigObject;

/**
 * Result of reading a folder.
 *
 * @param objects the objects; not to be used if there are problems
 * @param problems every mistake found, in file and line order
 */
public record FolderResult(List<ConfigObject> objects, List<ConfigProblem> problems) {

  /** Copies the lists. */
  public FolderResult {
    objects = List.copyOf(objects);
    problems = List.copyOf(problems);
  }

  /** Returns whether no mistake was found. */
  public boolean isValid() {
    return problems.isEmpty();
  }
}
