package org.arbutusspar.core.stage;

import java.util.Objects;
import org.apache.commons.lang3.Validate;

/**
 * The result of a piece, as kept by the replica that made it.
 *
 * @param handle names the result to whoever reads or releases it
 * @param batcher instance that had the piece made and accounts for the memory it takes
 * @param bytes approximate size
 */
public record StageResult(String handle, String batcher, long bytes) {

  /** Checks the components. */
  public StageResult {
    Validate.notEmpty(handle, "handle must not be empty");
    Objects.requireNonNull(batcher, "gatherer");
  }
}
