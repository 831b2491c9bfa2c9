package org.arbutusspar.core.id;

/**
 * Name of an entry instance, stable across its restarts.
 *
 * @param value the name, 1 to 63 characters of a-z, 0-9 and hyphen
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /** Checks the name. */
  public InstanceId {
    Identifiers.requireName(value, "instance");
  }

  /**
   * Returns the identifier for a name.
   *
   * @param value the name, 1 to 63 characters of a-z, 0-9 and hyphen
   * @return the identifier
   * @throws IllegalArgumentException if the name is null or malformed
   */
  public static InstanceId of(String value) {
    return new InstanceId(value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
