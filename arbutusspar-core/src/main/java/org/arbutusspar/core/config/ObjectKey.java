package org.arbutusspar.core.config;

import java.util.Objects;
import org.arbutusspar.core.id.ObjectName;

/**
 * Unique key of a configuration object.
 *
 * @param kind kind of the object
 * @param name name of the object, unique among objects of the same kind
 */
public record ObjectKey(ObjectKind kind, ObjectName name) implements Comparable<ObjectKey> {

  /** Checks the components. */
  public ObjectKey {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(name, "name");
  }

  @Override
  public int compareTo(ObjectKey other) {
    int byKind = kind.compareTo(other.kind);
    return byKind != 0 ? byKind : name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return kind.label() + "/" + name;
  }
}
