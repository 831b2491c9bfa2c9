package org.arbutusspar.core.placement;

import org.arbutusspar.core.Nanos;

/**
 * Load and health of a replica as known to one instance. Requests of this instance are counted
 * exactly; those of other instances are estimated from the replica's load reports, which are
 * slightly out of date. Times are in nanoseconds on the monotonic clock.
 */
final class ReplicaLoad {

  /** Time within which the weight of a load report falls linearly from one to zero. */
  private static final long REPORT_VALIDITY_NANOS = Nanos.ofMillis(500);

  /** Weight of the newest response in the failure share and in the mean response time. */
  private static final double SMOOTHING = 0.2;

  private static final long FIRST_COOLDOWN_MILLIS = 300;
  private static final int MAX_COOLDOWN_DOUBLINGS = 4;

  private int inFlight;
  private double othersAtReport;
  private long reportedAt;
  private boolean reported;
  private double failureShare;
  private double meanMillis;
  private final FailureCooldown cooldown =
      FailureCooldown.create(FIRST_COOLDOWN_MILLIS, MAX_COOLDOWN_DOUBLINGS);

  /** Returns the estimated number of requests in flight at the replica, from all instances. */
  double estimate(long now) {
    return inFlight + othersEstimate(now);
  }

  private double othersEstimate(long now) {
    long age = now - reportedAt;
    if (!reported || age >= REPORT_VALIDITY_NANOS) {
      return 0;
    }
    return othersAtReport * (1 - (double) age / REPORT_VALIDITY_NANOS);
  }

  int inFlight() {
    return inFlight;
  }

  void onSent() {
    inFlight++;
  }

  void onEnded() {
    inFlight--;
  }

  void onReport(int runningAndWaiting, long now) {
    othersAtReport = Math.max(0, runningAndWaiting - inFlight);
    reportedAt = now;
    reported = true;
  }

  void onValidResponse(double responseMillis) {
    cooldown.succeeded();
    cooldown.clear();
    failureShare -= SMOOTHING * failureShare;
    meanMillis =
        meanMillis == 0 ? responseMillis : meanMillis + SMOOTHING * (responseMillis - meanMillis);
  }

  /** Counts a response that reports a failure of the request at the replica. */
  void onFailureResponse() {
    failureShare += SMOOTHING * (1 - failureShare);
  }

  /** Counts a request without a valid response, and starts a cooldown of the replica. */
  void onNoResponse(long now) {
    onFailureResponse();
    cooldown.failed(now);
  }

  boolean isCoolingDown(long now) {
    return cooldown.isCoolingDown(now);
  }

  double failureShare() {
    return failureShare;
  }

  /** Returns the smoothed time of valid responses in milliseconds, 0 if there was none. */
  double meanMillis() {
    return meanMillis;
  }
}
