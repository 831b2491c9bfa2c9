package org.arbutusspar.core.id;

import java.util.Objects;

/**
 * Identity of a request: the same identifier in two workspaces denotes two requests.
 *
 * @param workspace the workspace whose key the caller presented
 * @param id the identifier
 */
public record RequestKey(WorkspaceId workspace, RequestId id) {

  /** Checks the components. */
  public RequestKey {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(id, "id");
  }
}
