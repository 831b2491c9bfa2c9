package org.arbutusspar.core.request;

import java.util.Objects;

/**
 * A document found by a retrieve stage.
 *
 * @param id identifier within the catalogue
 * @param text the text
 * @param score relevance, higher is better
 */
public record Document(String id, String text, double score) {

  /** Checks the components. */
  public Document {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(text, "text");
  }
}
