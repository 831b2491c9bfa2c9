package org.arbutusspar.core.config;

import java.util.Objects;

/**
 * A configuration object and the revision at which it was last set.
 *
 * @param revision log offset of the change that set it
 * @param object the object
 */
public record VersionedObject(long revision, ConfigObject object) {

  /** Checks the components. */
  public VersionedObject {
    Objects.requireNonNull(object, "object");
  }
}
