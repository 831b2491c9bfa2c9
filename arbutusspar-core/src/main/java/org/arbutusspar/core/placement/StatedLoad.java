package org.arbutusspar.core.placement;

import java.util.OptionalInt;
import org.apache.commons.lang3.Validate;

/**
 * Load that a replica states in a response. Immutable.
 *
 * @param running number of running requests
 * @param waiting number of waiting requests
 * @param slots number of requests that it runs at the same time
 * @param workPercent how long work takes on its machine at this moment, in percent of the usual
 *     time; empty if it does not say
 */
public record StatedLoad(int running, int waiting, int slots, OptionalInt workPercent) {

  /** Checks the components. */
  public StatedLoad {
    Validate.isTrue(running >= 0, "running must not be negative");
    Validate.isTrue(waiting >= 0, "waiting must not be negative");
    Validate.isTrue(slots >= 0, "slots must not be negative");
  }

  /** Returns the number of requests at the replica. */
  public int runningAndWaiting() {
    return running + waiting;
  }
}
