package org.arbutusspar.core.id;

import java.util.Objects;

/**
 * One incarnation of an entry instance, as named in request identifiers. Only this process may
 * start a non-repeatable request whose identifier names it.
 *
 * @param instance name of the instance
 * @param incarnation random number that the process draws when it starts
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
