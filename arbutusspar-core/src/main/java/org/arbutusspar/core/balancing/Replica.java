package org.arbutusspar.core.balancing;

import java.util.Objects;
import org.arbutusspar.core.Invariant;
import org.arbutusspar.core.Nanos;

/**
 * State of one replica as seen by one instance. Modified by the decision thread only.
 *
 * <p>A replica that reports that it is leaving gets no new calls. Because the platform's list lags
 * behind, a replica gets new calls only within {@link #REPORT_VALID_NANOS} of its last load report.
 * Replicas send a report with each response and in response to polls.
 */
public final class Replica {

  /** Maximum age of the last load report of a replica that gets new calls, in nanoseconds. */
  public static final long REPORT_VALID_NANOS = Nanos.ofMillis(3_000);

  /** Number of consecutive failures after which a replica is ejected. */
  static final int FAILURES_TO_EJECT = 3;

  /**
   * Duration of the first ejection after a success, in nanoseconds. Each further one takes twice as
   * long as the one before.
   */
  private static final long FIRST_EJECTION_NANOS = Nanos.ofMillis(2_000);

  /** Maximum duration of an ejection, in nanoseconds. */
  private static final long MAX_EJECTION_NANOS = Nanos.ofMillis(20_000);

  /** Age of a load report at which the estimate of other instances' calls is halved. */
  private static final long REPORT_HALF_LIFE_NANOS = Nanos.ofMillis(1_000);

  /** Weight of the newest call in the exponential moving average of the slowness. */
  private static final double SLOWNESS_SMOOTHING = 0.2;

  /** Minimum slowness of a single call that enters the average. */
  private static final double MIN_SLOWNESS = 0.1;

  /** Maximum slowness of a single call that enters the average. */
  private static final double MAX_SLOWNESS = 100;

  private final ListedReplica listed;
  private final ConcurrencyLimit limit;
  private final int slots;
  private boolean listedLeaving;
  private LoadReport report = new LoadReport(0, 0, false);
  private long loadReportNanos;
  private long lastReportNanos;
  private boolean reported;
  private int othersInFlightAtReport;
  private int inFlight;
  private double slowness = 1;
  private int consecutiveFailures;
  private long nextEjectionNanos = FIRST_EJECTION_NANOS;
  private long ejectedUntilNanos;
  private boolean ejected;

  private Replica(ListedReplica listed, ConcurrencyLimit limit, int slots) {
    this.listed = listed;
    this.limit = limit;
    this.slots = slots;
    this.listedLeaving = listed.leaving();
  }

  /**
   * Returns a replica without a load report. It is not eligible until the first one.
   *
   * @param listed entry of the replica on the platform's list, not null
   * @param limit limit on the calls of this instance in flight, not null
   * @param slots number of calls that the replica runs concurrently
   * @return the replica
   */
  public static Replica create(ListedReplica listed, ConcurrencyLimit limit, int slots) {
    return new Replica(
        Objects.requireNonNull(listed, "listed"), Objects.requireNonNull(limit, "limit"), slots);
  }

  /** Returns the entry on the platform's list from which the replica was created. */
  public ListedReplica listed() {
    return listed;
  }

  /** Returns the number of calls of this instance in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the current maximum number of calls of this instance in flight. */
  public int limit() {
    return limit.current();
  }

  /**
   * Returns the slowness: the moving average of the actual duration of calls divided by the
   * predicted one.
   */
  public double slowness() {
    return slowness;
  }

  /** Returns whether the platform's list or the last load report says that it is leaving. */
  public boolean isLeaving() {
    return listedLeaving || report.leaving();
  }

  /**
   * Returns whether the last load report is recent enough for new calls.
   *
   * @param now current monotonic time, in nanoseconds
   * @return true within {@link #REPORT_VALID_NANOS} of the last report
   */
  public boolean isReportFresh(long now) {
    return reported && now - lastReportNanos <= REPORT_VALID_NANOS;
  }

  /**
   * Returns the age of the last load report.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the age in nanoseconds, or {@link Long#MAX_VALUE} if there was no report
   */
  public long reportAge(long now) {
    return reported ? now - lastReportNanos : Long.MAX_VALUE;
  }

  /**
   * Returns whether the replica is ejected: excluded for a limited time after consecutive failures.
   *
   * @param now current monotonic time, in nanoseconds
   * @return true until the ejection ends
   */
  public boolean isEjected(long now) {
    return ejected && now < ejectedUntilNanos;
  }

  /**
   * Returns whether the replica may get another call.
   *
   * @param now current monotonic time, in nanoseconds
   * @return true if it is not leaving, has a recent report, is not ejected and is below its limit
   */
  public boolean isEligible(long now) {
    return !isLeaving() && isReportFresh(now) && !isEjected(now) && inFlight < limit.current();
  }

  /**
   * Returns the estimated number of calls that other instances have at the replica.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the estimate from the last report, halved for each second of the report's age
   */
  public double othersInFlight(long now) {
    if (!reported) {
      return 0;
    }
    double ageInHalfLives = (now - loadReportNanos) / (double) REPORT_HALF_LIFE_NANOS;
    return othersInFlightAtReport * Math.pow(0.5, ageInHalfLives);
  }

  /**
   * Returns the predicted duration of a new call relative to that at an idle replica of slowness 1.
   * It grows with the number of calls in flight per slot.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the factor on the predicted duration, at least the slowness
   */
  public double loadFactor(long now) {
    double loadPerSlot = (inFlight + othersInFlight(now)) / slots;
    return slowness * Math.max(1, loadPerSlot) + 0.25 * Math.min(1, loadPerSlot);
  }

  /** Counts a call as in flight when it is sent. */
  public void onSent() {
    inFlight++;
  }

  /** Removes a call from those in flight, whether it succeeded or failed. */
  public void onEnded() {
    inFlight--;
    Invariant.require(inFlight >= 0, "calls in flight at a replica are not negative");
  }

  /**
   * Handles the success of a call that is still counted as in flight. It ends an ejection.
   *
   * @param callSlowness actual duration of the call divided by the predicted duration
   */
  public void onSuccess(double callSlowness) {
    consecutiveFailures = 0;
    ejected = false;
    nextEjectionNanos = FIRST_EJECTION_NANOS;
    limit.onSuccess(callSlowness, inFlight);
    double boundedSlowness = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, callSlowness));
    slowness += SLOWNESS_SMOOTHING * (boundedSlowness - slowness);
  }

  /**
   * Handles the failure of a call for which the replica is responsible.
   *
   * @param now current monotonic time, in nanoseconds
   * @return true if this failure ejects the replica
   */
  public boolean onFailure(long now) {
    limit.onOverload();
    consecutiveFailures++;
    if (consecutiveFailures < FAILURES_TO_EJECT) {
      return false;
    }
    consecutiveFailures = 0;
    ejected = true;
    ejectedUntilNanos = now + nextEjectionNanos;
    nextEjectionNanos = Math.min(MAX_EJECTION_NANOS, nextEjectionNanos * 2);
    return true;
  }

  /**
   * Handles a load report of the replica.
   *
   * @param newReport the report, not null
   * @param now current monotonic time, in nanoseconds
   */
  public void onReport(LoadReport newReport, long now) {
    report = newReport;
    loadReportNanos = now;
    lastReportNanos = now;
    reported = true;
    othersInFlightAtReport = Math.max(0, newReport.running() + newReport.waiting() - inFlight);
    limit.onReport(newReport, inFlight);
    if (slowness > 1 && inFlight == 0) {
      // Without calls, the slowness decays towards 1, so that the replica is chosen again after it
      // was slow.
      slowness += SLOWNESS_SMOOTHING * (1 - slowness);
    }
  }

  /**
   * Updates the state from the platform's list.
   *
   * @param leaving whether the replica is listed as leaving
   */
  public void onListed(boolean leaving) {
    listedLeaving = leaving;
  }

  /** Returns a short description of the replica for the status page. */
  @Override
  public String toString() {
    return listed.id() + " inFlight=" + inFlight + " limit=" + limit.current();
  }
}
