package org.arbutusspar.core.routing;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * A workspace as the holder of a key.
 *
 * @param workspace name of the workspace, as replicas are told it
 * @param priority rank of its requests, which goes before the route's; empty if it has none
 */
public record KeyOwner(String workspace, OptionalInt priority) {

  /** Checks the components. */
  public KeyOwner {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(priority, "priority");
  }
}
