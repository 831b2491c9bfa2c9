package org.arbutusspar.core.config;

import java.util.Objects;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.id.ObjectName;

/**
 * One stage of a pipeline.
 *
 * @param kind kind of work that the stage does
 * @param service name of the service that runs the stage
 * @param limit maximum number of documents that a retrieve or rerank stage returns; 0 for other
 *     kinds
 */
public record Stage(StageKind kind, ObjectName service, int limit) {

  /** Maximum value of {@code limit}, and so of the documents that a stage may return. */
  public static final int MAX_LIMIT = 1_000;

  /** Checks the components. */
  public Stage {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(service, "service");
    Validate.inclusiveBetween(0, MAX_LIMIT, limit, "limit must be from 0 to 1000");
  }
}
