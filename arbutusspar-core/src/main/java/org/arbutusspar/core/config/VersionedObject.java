package org.arbutusspar.core.config;

import java.util.Objects;

/**
 * Configuration object with the revision of its last change.
 *
 * @param revision log offset of the last change that created or replaced the object
 * @param object current value of the object
 */
public record VersionedObject(long revision, ConfigObject object) {

  /** Checks the components. */
  public VersionedObject {
    Objects.requireNonNull(object, "object");
  }
}
