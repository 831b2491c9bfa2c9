package org.arbutusspar.core.placement;

import org.arbutusspar.core.Nanos;

/**
 * What one instance knows of the load and health of a replica: its own requests at once, those of
 * other instances from the replica's reports, which lag.
 */
final class ReplicaLoad {

  /** A report of load counts for this long, falling off evenly. */
  private static final long REPORT_VALIDITY_NANOS = Nanos.ofMillis(500);

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

  /** Returns the number of requests at the replica, those of other instances estimated. */
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

  /** Counts an answer that says that the request failed. */
  void onFailureResponse() {
    failureShare += SMOOTHING * (1 - failureShare);
  }

  /** Counts a request without an answer, and pauses the replica for longer each time. */
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

  /** Returns the mean time of recent answers in milliseconds, 0 if there was none. */
  double meanMillis() {
    return meanMillis;
  }
}
