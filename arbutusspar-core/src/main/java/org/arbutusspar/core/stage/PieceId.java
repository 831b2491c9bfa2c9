package org.arbutusspar.core.stage;

import java.util.Objects;
import org.apache.commons.lang3.Validate;

/**
 * Identifier of a piece of a stage of a request.
 *
 * @param requestId identifier of the request; a client retry counts as another request
 * @param stage index of the stage in its route
 * @param index index of the piece in its stage
 */
public record PieceId(String requestId, int stage, int index) {

  /** Checks the components. */
  public PieceId {
    Objects.requireNonNull(requestId, "requestId");
    Validate.isTrue(stage >= 0, "stage must not be negative");
    Validate.isTrue(index >= 0, "index must not be negative");
  }
}
