package org.arbutusspar.core.stage;

/** Shares by priority rank alone. */
final class PriorityWaitShares implements WaitShares {

  private static final double[] SHARES = {1.2, 0.95, 0.65};

  /**
   * Maximum shares for client retries. They are lower because a late response to a retry is worth
   * little. They are above zero because a second rejection costs a client more than the first. Once
   * admitted, a retry is served like a new request.
   */
  private static final double[] CLIENT_RETRY_SHARES = {0.8, 0.5, 0.3};

  @Override
  public double share(int priority, boolean isClientRetry, boolean isWithinUsualLoad) {
    double[] shares = isClientRetry ? CLIENT_RETRY_SHARES : SHARES;
    return shares[Math.min(shares.length - 1, priority)];
  }
}
