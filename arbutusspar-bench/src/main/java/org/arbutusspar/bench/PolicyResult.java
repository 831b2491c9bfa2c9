package org.arbutusspar.bench;

/** Figures of one run of a policy. Filled by {@link PolicyRun}. */
final class PolicyResult {

  /** Requests that arrived. */
  int requests;

  /** Requests that were answered within their deadline. */
  int inTime;

  /** Requests that were refused as not run. */
  int rejected;

  /** Calls of stages, extra ones included. */
  int calls;

  /** Retries and second copies. */
  int extraCalls;

  /** Price of all calls. */
  double price;

  /** Price of the calls of requests that were not answered in time. */
  double wastedPrice;

  /** Attainment of the worst workspace divided by that of all. */
  double worstWorkspaceRatio;

  /** When the last request that missed after the fault had arrived, in seconds; 0 if none. */
  double lastMissArrivalSecond;

  /** When the fault ended, in seconds. */
  double faultEndSecond;

  double attainment() {
    return requests == 0 ? 0 : 100.0 * inTime / requests;
  }

  double wastedPercent() {
    return price == 0 ? 0 : 100 * wastedPrice / price;
  }

  double extraPercent() {
    return calls == 0 ? 0 : 100.0 * extraCalls / calls;
  }

  double pricePerAnswer() {
    return inTime == 0 ? 0 : price / inTime;
  }

  double recoverySeconds() {
    return Math.max(0, lastMissArrivalSecond - faultEndSecond);
  }
}
