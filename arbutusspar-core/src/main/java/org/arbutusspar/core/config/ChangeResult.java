package org.arbutusspar.core.config;

import java.util.Objects;

/**
 * What became of a change.
 *
 * @param id the change
 * @param offset log offset of its first record
 * @param accepted whether it took effect
 * @param reason why it was rejected; empty if it was accepted
 */
public record ChangeResult(ChangeId id, long offset, boolean accepted, String reason) {

  /** Checks the components. */
  public ChangeResult {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(reason, "reason");
  }
}
