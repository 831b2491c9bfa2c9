package org.arbutusspar.core.id;

import java.util.Objects;

/**
 * One incarnation of an entry instance: the only process that may start a non-repeatable request
 * whose identifier names it.
 *
 * @param instance the instance
 * @param incarnation random number drawn when the process started
 */
public record Home(InstanceId instance, long incarnation) {

  /** Checks the components. */
  public Home {
    Objects.requireNonNull(instance, "instance");
  }

  @Override
  public String toString() {
    return instance + "." + Long.toHexString(incarnation);
  }
}
