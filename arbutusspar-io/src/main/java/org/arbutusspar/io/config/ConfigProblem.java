package org.arbutusspar.io.config;

import java.util.Objects;

/**
 * A mistake in an operator's folder.
 *
 * @param file name of the file; empty if it concerns the folder
 * @param line line from 1; 0 if it concerns the whole file
 * @param field path of the field, such as {@code pipelines.chat.deadlineMs}; may be empty
 * @param message what is wrong
 */
public record ConfigProblem(String file, int line, String field, String message) {

  /** Checks the components. */
  public ConfigProblem {
    Objects.requireNonNull(file, "file");
    Objects.requireNonNull(field, "field");
    Objects.requireNonNull(message, "message");
  }

  /** Returns the form that compilers use: {@code file:line: field: message}. */
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
