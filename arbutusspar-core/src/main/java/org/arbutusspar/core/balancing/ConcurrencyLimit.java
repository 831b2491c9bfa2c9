package org.arbutusspar.core.balancing;

/** Limit on the number of calls that one instance has in flight at one replica. */
public interface ConcurrencyLimit {

  /** Returns the current maximum number of calls in flight, at least 1. */
  int current();

  /**
   * Adjusts the limit after a successful call.
   *
   * @param slowness actual duration of the call divided by the predicted duration
   * @param inFlight calls of this instance in flight when it ended, including itself
   */
  void onSuccess(double slowness, int inFlight);

  /** Adjusts the limit after the replica rejected or lost a call. */
  void onOverload();

  /**
   * Adjusts the limit to a load report of the replica.
   *
   * @param report the report, not null
   * @param inFlight calls of this instance in flight
   */
  void onReport(LoadReport report, int inFlight);
}
