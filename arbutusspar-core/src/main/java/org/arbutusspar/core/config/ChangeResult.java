package org.arbutusspar.core.config;

import java.util.Objects;

/**
 * Result of applying a change to the configuration.
 *
 * @param id identifier of the change
 * @param offset log offset of the first record that contains the change
 * @param accepted whether the change took effect
 * @param reason why the change was rejected; empty if it was accepted
 */
public record ChangeResult(ChangeId id, long offset, boolean accepted, String reason) {

  /** Checks the components. */
  public ChangeResult {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(reason, "reason");
  }
}
