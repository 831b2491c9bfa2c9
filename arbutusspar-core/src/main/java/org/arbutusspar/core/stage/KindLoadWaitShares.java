package org.arbutusspar.core.stage;

/**
 * Shares by priority rank, which are lower for requests that exceed the usual load of their kind,
 * and higher for client retries.
 *
 * <p>Load pattern: a burst of one kind of request beyond the capacity of the stages that other
 * kinds use as well. The others keep what they usually use, and the burst gets what they leave.
 */
final class KindLoadWaitShares implements WaitShares {

  private static final double[] SHARES = {1.1, 1, 0.95};
  private static final double[] BURST_SHARES = {1, 0.6, 0.4};
  private static final double CLIENT_RETRY_FACTOR = 1.1;

  @Override
  public double share(int priority, boolean isClientRetry, boolean isWithinUsualLoad) {
    double[] shares = isWithinUsualLoad || isClientRetry ? SHARES : BURST_SHARES;
    double share = shares[Math.min(shares.length - 1, priority)];
    return isClientRetry ? CLIENT_RETRY_FACTOR * share : share;
  }
}
