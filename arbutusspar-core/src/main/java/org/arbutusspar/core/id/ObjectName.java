package org.arbutusspar.core.id;

/**
 * Name of a configuration object, such as a pipeline or a service.
 *
 * @param value the name, 1 to 63 characters of a-z, 0-9 and hyphen
 */
public record ObjectName(String value) implements Comparable<ObjectName> {

  /** Checks the name. */
  public ObjectName {
    Identifiers.requireName(value, "object name");
  }

  /**
   * Returns the identifier for a name.
   *
   * @param value the name, 1 to 63 characters of a-z, 0-9 and hyphen
   * @return the identifier
   * @throws IllegalArgumentException if the name is null or malformed
   */
  public static ObjectName of(String value) {
    return new ObjectName(value);
  }

  @Override
  public int compareTo(ObjectName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
