package org.arbutusspar.core.id;

import java.util.Objects;

/**
 * Unique key of a request. The same identifier in two workspaces denotes two requests.
 *
 * @param workspace workspace of the caller, determined by its API key
 * @param id identifier of the request within the workspace
 */
public record RequestKey(WorkspaceId workspace, RequestId id) {

  /** Checks the components. */
  public RequestKey {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(id, "id");
  }
}
