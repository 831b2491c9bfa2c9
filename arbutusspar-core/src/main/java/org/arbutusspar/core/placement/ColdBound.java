package org.arbutusspar.core.placement;

import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.routing.WarmUp;

/**
 * The bound on the requests that a cold replica may get in any second from all instances together,
 * and the permits that keep it. Immutable.
 *
 * <p>Besides the permits of the holder of a role, the bound covers those of the smaller parts of a
 * partitioned network, the unused permits of holders that follow each other within a second, and
 * requests that arrive later than others which got their permits before.
 *
 * @param ratio number of requests as a multiple of the rate that the replica takes
 * @param allowance number of requests beyond that
 */
public record ColdBound(double ratio, double allowance) {

  /** Largest rate of permits as a share of the bound; two holders may overlap for a moment. */
  private static final double MAX_RATE_SHARE = 0.5;

  /** Rate of the permits of all parts of a partitioned network as a multiple of one's. */
  private static final double PARTS_FACTOR = 4.0 / 3;

  /** Number of times that the burst fits into what the rate leaves of the bound. */
  private static final double BURSTS = 6;

  /** Checks the components. */
  public ColdBound {
    Validate.isTrue(ratio > 0, "ratio must be positive");
    Validate.isTrue(allowance >= 0, "allowance must not be negative");
  }

  /** Returns the maximum number of requests in any second. */
  public double perWindow(WarmUp warmUp) {
    return ratio * warmUp.perSecond() + allowance;
  }

  /** Returns the rate of permits for a cold replica in requests a second. */
  public double permitsPerSecond(WarmUp warmUp) {
    return Math.min(warmUp.perSecond(), MAX_RATE_SHARE * perWindow(warmUp));
  }

  /** Returns the maximum number of unused permits, at least 1. */
  public double burst(WarmUp warmUp) {
    double left = perWindow(warmUp) - PARTS_FACTOR * permitsPerSecond(warmUp);
    return Math.max(1, left / BURSTS);
  }
}
