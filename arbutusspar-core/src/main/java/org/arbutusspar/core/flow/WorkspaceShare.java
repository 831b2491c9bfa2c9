package org.arbutusspar.core.flow;

import org.arbutusspar.core.id.WorkspaceId;

/**
 * A workspace and its share of a service.
 *
 * @param id identifier of the workspace
 * @param share weight relative to other workspaces, at least 1
 */
record WorkspaceShare(WorkspaceId id, int share) {}
