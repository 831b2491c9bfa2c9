package org.arbutusspar.core.routing;

import java.util.Objects;
import java.util.OptionalInt;

/**
 * The workspace that owns an API key.
 *
 * @param workspace name of the workspace, which is also sent to replicas
 * @param priority priority rank of its requests, which overrides the route's; empty if not set
 */
public record KeyOwner(String workspace, OptionalInt priority) {

  /** Checks the components. */
  public KeyOwner {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(priority, "priority");
  }
}
