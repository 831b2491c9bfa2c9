package org.arbutusspar.core.id;

/**
 * Name of a workspace.
 *
 * @param value the name, 1 to 63 characters of a-z, 0-9 and hyphen
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

  /** Checks the name. */
  public WorkspaceId {
    Identifiers.requireName(value, "workspace");
  }

  /**
   * Returns the identifier for a name.
   *
   * @param value the name, 1 to 63 characters of a-z, 0-9 and hyphen
   * @return the identifier
   * @throws IllegalArgumentException if the name is null or malformed
   */
  public static WorkspaceId of(String value) {
    return new WorkspaceId(value);
  }

  @Override
  public int compareTo(WorkspaceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
