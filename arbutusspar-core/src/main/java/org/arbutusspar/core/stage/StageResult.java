package org.arbutusspar.core.stage;

import java.util.Objects;
import org.apache.commons.lang3.Validate;

/**
 * Reference to the result of a piece, which is stored at the replica that computed it.
 *
 * @param handle identifier by which the result is read or released
 * @param batcher instance that batched the piece and accounts for the memory of the result
 * @param bytes approximate size of the result in bytes
 */
public record StageResult(String handle, String batcher, long bytes) {

  /** Checks the components. */
  public StageResult {
    Validate.notEmpty(handle, "handle must not be empty");
    Objects.requireNonNull(batcher, "batcher");
  }
}
