package org.arbutusspar.core.request;

import java.util.Objects;

/**
 * Document that a retrieve stage found.
 *
 * @param id identifier of the document in the catalogue
 * @param text text of the document
 * @param score relevance to the question, higher is better
 */
public record Document(String id, String text, double score) {

  /** Checks the components. */
  public Document {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(text, "text");
  }
}
