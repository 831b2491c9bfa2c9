package org.arbutusspar.bench;

/** Counts and measurements of one {@link PolicyRun}, which sets the fields. */
final class PolicyResult {

  /** Requests that arrived. */
  int requests;

  /** Requests that were answered within their deadline. */
  int inTime;

  /** Requests that were rejected with the verdict that they were not run. */
  int rejected;

  /** Calls that were sent to replicas, including retries and hedges. */
  int calls;

  /** Decisions for a retry or a hedge, each of which adds a call. */
  int extraCalls;

  /** Price of all requests. */
  double price;

  /** Price of the requests that were not answered within their deadline. */
  double wastedPrice;

  /** Lowest attainment of a workspace divided by the attainment of all requests, at most 1. */
  double worstWorkspaceRatio;

  /**
   * Arrival time of the last request that arrived after the end of the fault and was not answered
   * within its deadline, in seconds since the start; 0 if there was none.
   */
  double lastMissArrivalSecond;

  /** End of the fault, in seconds since the start; recovery is counted from here. */
  double faultEndSecond;

  /** Returns the share of requests that were answered within their deadline, in percent. */
  double attainment() {
    return requests == 0 ? 0 : 100.0 * inTime / requests;
  }

  /** Returns the share of the price that requests without a timely answer took, in percent. */
  double wastedPercent() {
    return price == 0 ? 0 : 100 * wastedPrice / price;
  }

  /** Returns the share of calls that were retries or hedges, in percent. */
  double extraPercent() {
    return calls == 0 ? 0 : 100.0 * extraCalls / calls;
  }

  /** Returns the price of all requests for each request that was answered in time. */
  double pricePerAnswer() {
    return inTime == 0 ? 0 : price / inTime;
  }

  /**
   * Returns the time from the end of the fault to the arrival of the last request that missed its
   * deadline, in seconds; 0 if no later request missed it.
   */
  double recoverySeconds() {
    return Math.max(0, lastMissArrivalSecond - faultEndSecond);
  }
}
