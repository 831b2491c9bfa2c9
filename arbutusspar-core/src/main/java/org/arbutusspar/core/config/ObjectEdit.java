package org.arbutusspar.core.config;

import java.util.Objects;
import java.util.Optional;
import org.apache.commons.lang3.Validate;

/**
 * Replacement or deletion of one object. It is valid only if the object still has the revision on
 * which the edit is based (optimistic concurrency control).
 *
 * @param key key of the object
 * @param base revision on which the edit is based; 0 if the object did not exist
 * @param object new value of the object, or empty to delete it
 */
public record ObjectEdit(ObjectKey key, long base, Optional<ConfigObject> object) {

  /** Checks the components. */
  public ObjectEdit {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(object, "object");
    Validate.isTrue(base >= 0, "base must not be negative");
    Validate.isTrue(
        object.isEmpty() || object.get().key().equals(key), "object does not have key %s", key);
  }
}
