package org.arbutusspar.core.flow;

import org.arbutusspar.core.id.WorkspaceId;

/**
 * A workspace and its weight against others.
 *
 * @param id the workspace
 * @param share the weight, at least 1
 */
record WorkspaceShare(WorkspaceId id, int share) {}
