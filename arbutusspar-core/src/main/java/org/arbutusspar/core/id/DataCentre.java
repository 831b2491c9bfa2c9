package org.arbutusspar.core.id;

/**
 * Name of a data centre.
 *
 * @param value the name, 1 to 63 characters of a-z, 0-9 and hyphen
 */
public record DataCentre(String value) implements Comparable<DataCentre> {

  /** Checks the name. */
  public DataCentre {
    Identifiers.requireName(value, "data centre");
  }

  /**
   * Returns the identifier for a name.
   *
   * @param value the name, 1 to 63 characters of a-z, 0-9 and hyphen
   * @return the identifier
   * @throws IllegalArgumentException if the name is null or malformed
   */
  public static DataCentre of(String value) {
    return new DataCentre(value);
  }

  @Override
  public int compareTo(DataCentre other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
