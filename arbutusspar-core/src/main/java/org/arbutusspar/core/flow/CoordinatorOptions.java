package org.arbutusspar.core.flow;

import java.util.Objects;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.Home;

/**
 * What a coordinator is told when it is created.
 *
 * @param home the instance and its incarnation
 * @param dataCentre where it runs
 * @param policy the parts of the decision that vary
 * @param seed seed of its random numbers
 * @param startNanos monotonic time at creation
 * @param startWallMillis wall-clock time at creation, milliseconds since the epoch
 */
public record CoordinatorOptions(
    Home home,
    DataCentre dataCentre,
    Policy policy,
    long seed,
    long startNanos,
    long startWallMillis) {

  /** Checks the components. */
  public CoordinatorOptions {
    Objects.requireNonNull(home, "home");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(policy, "policy");
  }

  /**
   * Returns the wall-clock time that belongs to a monotonic time. It never jumps while a process
   * lives.
   *
   * @param now monotonic time
   * @return milliseconds since the epoch
   */
  long wallMillis(long now) {
    return startWallMillis + (long) Nanos.toMillis(now - startNanos);
  }
}
