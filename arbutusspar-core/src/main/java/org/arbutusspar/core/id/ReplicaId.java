package org.arbutusspar.core.id;

/**
 * Name of one replica of an upstream service.
 *
 * @param value the name, 1 to 63 characters of a-z, 0-9 and hyphen
 */
public record ReplicaId(String value) implements Comparable<ReplicaId> {

  /** Checks the name. */
  public ReplicaId {
    Identifiers.requireName(value, "replica");
  }

  /**
   * Returns the identifier for a name.
   *
   * @param value the name, 1 to 63 characters of a-z, 0-9 and hyphen
   * @return the identifier
   * @throws IllegalArgumentException if the name is null or malformed
   */
  public static ReplicaId of(String value) {
    return new ReplicaId(value);
  }

  @Override
  public int compareTo(ReplicaId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
