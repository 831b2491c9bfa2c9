package org.arbutusspar.core.flow;

import java.util.Objects;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.Home;

/**
 * Options of a {@link Coordinator}.
 *
 * @param home the instance and its incarnation
 * @param dataCentre data centre in which the instance runs
 * @param policy algorithms for the decisions
 * @param seed seed of the random number generator
 * @param startNanos monotonic time at creation, in nanoseconds
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
   * Returns the wall-clock time at a monotonic time. It is derived from the wall-clock time at
   * creation, so adjustments of the system clock do not change it.
   *
   * @param now monotonic time in nanoseconds
   * @return milliseconds since the epoch
   */
  long wallMillis(long now) {
    return startWallMillis + (long) Nanos.toMillis(now - startNanos);
  }
}
