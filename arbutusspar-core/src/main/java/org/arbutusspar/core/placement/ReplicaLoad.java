package org.arbutusspar.core.placement;

import org.arbutusspar.core.Nanos;

/**
 * What one instance knows of the load and health of a replica: its own requests at once, those of
 * other instances from the replica's reports, which lag.
 */
final class ReplicaLoad {

  /** A report of load counts for this long, falling off evenly. */
  private static final long REPORT_LIFE_NANOS = Nanos.ofMillis(500);

  private static final double WEIGHT = 0.2;
  private static final long FIRST_REST_MILLIS = 300;
  private static final int MAX_REST_DOUBLINGS = 4;

  private int inFlight;
  private double othersReported;
  private long reportedAt;
  private boolean reported;
  private double failureShare;
  private double millis;
  private final FailureCooldown cooldown =
      FailureCooldown.create(FIRST_REST_MILLIS, MAX_REST_DOUBLINGS);

  /** Returns the number of requests at the replica, those of other instances estimated. */
  double estimate(long now) {
    return inFlight + others(now);
  }

  private double others(long now) {
    long age = now - reportedAt;
    if (!reported || age >= REPORT_LIFE_NANOS) {
      return 0;
    }
    return othersReported * (1 - (double) age / REPORT_LIFE_NANOS);
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
    othersReported = Math.max(0, runningAndWaiting - inFlight);
    reportedAt = now;
    reported = true;
  }

  void onAnswer(double tookMillis) {
    cooldown.succeeded();
    cooldown.clear();
    failureShare -= WEIGHT * failureShare;
    millis = millis == 0 ? tookMillis : millis + WEIGHT * (tookMillis - millis);
  }

  /** Counts an answer that says that the request failed. */
  void onFailedAnswer() {
    failureShare += WEIGHT * (1 - failureShare);
  }

  /** Counts a request without an answer, and pauses the replica for longer each time. */
  void onNoResponse(long now) {
    onFailedAnswer();
    cooldown.failed(now);
  }

  boolean isCoolingDown(long now) {
    return cooldown.isCoolingDown(now);
  }

  double failureShare() {
    return failureShare;
  }

  /** Returns the mean time of recent answers in milliseconds, 0 if there was none. */
  double millis() {
    return millis;
  }
}
