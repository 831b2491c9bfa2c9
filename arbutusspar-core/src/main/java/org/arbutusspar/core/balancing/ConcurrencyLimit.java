package org.arbutusspar.core.balancing;

/** Bound on the calls that one instance has in flight at one replica. */
public interface ConcurrencyLimit {

  /** Returns the bound, at least 1. */
  int current();

  /**
   * Learns from a call that succeeded.
   *
   * @param slowness duration divided by the duration that was predicted
   * @param inFlight calls in flight when it ended, itself included
   */
  void onSuccess(double slowness, int inFlight);

  /** Learns that the replica refused or lost a call. */
  void onOverload();

  /**
   * Learns from a load report.
   *
   * @param report the report, not null
   * @param inFlight own calls in flight
   */
  void onReport(LoadReport report, int inFlight);
}
