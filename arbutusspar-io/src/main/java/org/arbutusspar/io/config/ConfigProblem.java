package org.arbutusspar.io.config;

import java.util.Objects;

/**
 * A problem in a configuration folder.
 *
 * @param file name of the file; empty if the problem concerns the whole folder
 * @param line line number from 1; 0 if the problem concerns the whole file
 * @param field path of the field, such as {@code pipelines.chat.deadlineMs}; may be empty
 * @param message description of the problem
 */
public record ConfigProblem(String file, int line, String field, String message) {

  /** Checks that no component is null. */
  public ConfigProblem {
    Objects.requireNonNull(file, "file");
    Objects.requireNonNull(field, "field");
    Objects.requireNonNull(message, "message");
  }

  /** Returns the problem in the format of compiler messages: {@code file:line: field: message}. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(file);
    if (line > 0) {
      text.append(':').append(line);
    }
    if (!text.isEmpty()) {
      text.append(": ");
    }
    if (!field.isEmpty()) {
      text.append(field).append(": ");
    }
    return text.append(message).toString();
  }
}
