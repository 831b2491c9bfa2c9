package org.arbutusspar.core.stage;

/**
 * Maximum shares of the slack of requests with stages that their expected waits may use. Lower
 * shares make admission reject requests first. A share above 1 admits requests that are expected to
 * exceed their target time slightly.
 */
@FunctionalInterface
public interface WaitShares {

  /** Shares by priority rank; client retries are admitted only with a short wait. */
  WaitShares BY_PRIORITY = new PriorityWaitShares();

  /** Shares by priority rank and load of the kind; client retries go before new requests. */
  WaitShares BY_KIND_LOAD = new KindLoadWaitShares();

  /**
   * Returns the share of a request.
   *
   * @param priority priority rank of the request, 0 is the most urgent
   * @param isClientRetry whether the client has probably sent it before and been rejected
   * @param isWithinUsualLoad whether it is within the usual load of its kind
   * @return the share
   */
  double share(int priority, boolean isClientRetry, boolean isWithinUsualLoad);
}
