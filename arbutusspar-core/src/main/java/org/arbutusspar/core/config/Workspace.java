package org.arbutusspar.core.config;

import java.util.Objects;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.WorkspaceId;

/**
 * Workspace with its API key and its share of the deployment.
 *
 * @param name name of the workspace
 * @param keySha256 SHA-256 hash of the API key of the workspace, in lower-case hexadecimal
 * @param share weight of the workspace relative to the others, 1 to {@value #MAX_SHARE}
 */
public record Workspace(ObjectName name, String keySha256, int share) implements ConfigObject {

  /** Maximum value of {@code share}. */
  public static final int MAX_SHARE = 1_000;

  /** Checks the components. */
  public Workspace {
    Objects.requireNonNull(name, "name");
    Validate.isTrue(
        keySha256 != null && keySha256.matches("[0-9a-f]{64}"),
        "keySha256 must be 64 lower-case hexadecimal digits");
    Validate.inclusiveBetween(1, MAX_SHARE, share, "share must be from 1 to 1000");
  }

  /** Returns the name of the workspace as an identifier. */
  public WorkspaceId id() {
    return WorkspaceId.of(name.value());
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.WORKSPACE, name);
  }
}
