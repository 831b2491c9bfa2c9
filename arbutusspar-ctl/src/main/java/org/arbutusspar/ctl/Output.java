package org.arbutusspar.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.PrintStream;
import java.util.List;
import java.util.Objects;
import org.arbutusspar.io.codec.Mappers;

/** Prints the results of a command, as text or as JSON. */
final class Output {

  private static final String COLUMN_GAP = "  ";

  private final PrintStream out;
  private final boolean json;

  private Output(PrintStream out, boolean json) {
    this.out = out;
    this.json = json;
  }

  static Output create(PrintStream out, boolean json) {
    return new Output(Objects.requireNonNull(out, "out"), json);
  }

  boolean isJson() {
    return json;
  }

  void line(String text) {
    out.println(text);
  }

  void json(Object value) {
    try {
      out.println(Mappers.json().writerWithDefaultPrettyPrinter().writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("result cannot be written", e);
    }
  }

  /**
   * Prints a table with aligned columns.
   *
   * @param rows the heading, then the rows; all as long as the heading
   */
  void table(List<List<String>> rows) {
    int columns = rows.get(0).size();
    int[] widths = new int[columns];
    for (List<String> row : rows) {
      for (int i = 0; i < columns; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    for (List<String> row : rows) {
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < columns; i++) {
        text.append(i == 0 ? "" : COLUMN_GAP).append(row.get(i));
        text.append(" ".repeat(widths[i] - row.get(i).length()));
      }
      out.println(text.toString().stripTrailing());
    }
  }
}
