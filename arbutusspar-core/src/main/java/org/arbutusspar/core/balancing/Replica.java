package org.arbutusspar.core.balancing;

import java.util.Objects;
import org.arbutusspar.core.Invariant;
import org.arbutusspar.core.Nanos;

/**
 * What one instance knows of one replica. Changed by the decision thread only.
 *
 * <p>A replica that says that it is leaving gets no new work. Because the platform's list lags, a
 * replica gets new work only within {@link #REPORT_VALID_NANOS} of its own last word, which comes
 * with each answer and with polls.
 */
public final class Replica {

  /** How long a replica's own word that it takes work holds. */
  public static final long REPORT_VALID_NANOS = Nanos.ofMillis(3_000);

  /** Failures in a row after which a replica is left alone for a while. */
  static final int FAILURES_TO_EJECT = 3;

  private static final long FIRST_EJECTION_NANOS = Nanos.ofMillis(2_000);
  private static final long MAX_EJECTION_NANOS = Nanos.ofMillis(20_000);
  private static final long REPORT_HALF_LIFE_NANOS = Nanos.ofMillis(1_000);
  private static final double SLOWNESS_SMOOTHING = 0.2;
  private static final double MIN_SLOWNESS = 0.1;
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
   * Returns a replica of which nothing was heard yet.
   *
   * @param listed what the platform's list says, not null
   * @param limit bound on calls in flight, not null
   * @param slots calls that the replica takes at once
   * @return the replica
   */
  public static Replica create(ListedReplica listed, ConcurrencyLimit limit, int slots) {
    return new Replica(
        Objects.requireNonNull(listed, "listed"), Objects.requireNonNull(limit, "limit"), slots);
  }

  /** Returns what the list says. */
  public ListedReplica listed() {
    return listed;
  }

  /** Returns own calls in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the bound on own calls in flight. */
  public int limit() {
    return limit.current();
  }

  /** Returns how many times slower than predicted its calls end, smoothed. */
  public double slowness() {
    return slowness;
  }

  /** Returns whether the list or the replica says that it is leaving. */
  public boolean isLeaving() {
    return listedLeaving || report.leaving();
  }

  /**
   * Returns whether the replica's own word is young enough to rely on.
   *
   * @param now the time
   * @return true within {@link #REPORT_VALID_NANOS} of the last word
   */
  public boolean isReportFresh(long now) {
    return reported && now - lastReportNanos <= REPORT_VALID_NANOS;
  }

  /**
   * Returns the age of the replica's last word.
   *
   * @param now the time
   * @return nanoseconds, or the largest number if it was never heard
   */
  public long reportAge(long now) {
    return reported ? now - lastReportNanos : Long.MAX_VALUE;
  }

  /**
   * Returns whether the replica is left alone after failures.
   *
   * @param now the time
   * @return true while it is
   */
  public boolean isEjected(long now) {
    return ejected && now < ejectedUntilNanos;
  }

  /**
   * Returns whether the replica may get one more call.
   *
   * @param now the time
   * @return true if it is live, heard of, not ejected and under its limit
   */
  public boolean isEligible(long now) {
    return !isLeaving() && isReportFresh(now) && !isEjected(now) && inFlight < limit.current();
  }

  /**
   * Returns the calls that other instances are estimated to have there.
   *
   * @param now the time
   * @return the estimate, halved with each second of the report's age
   */
  public double othersInFlight(long now) {
    if (!reported) {
      return 0;
    }
    double age = (now - loadReportNanos) / (double) REPORT_HALF_LIFE_NANOS;
    return othersInFlightAtReport * Math.pow(0.5, age);
  }

  /**
   * Returns how much longer than alone a new call takes, from what is in flight.
   *
   * @param now the time
   * @return a factor, at least 1, times the replica's slowness
   */
  public double loadFactor(long now) {
    double load = (inFlight + othersInFlight(now)) / slots;
    return slowness * Math.max(1, load) + 0.25 * Math.min(1, load);
  }

  /** Counts a call that is being sent. */
  public void onSent() {
    inFlight++;
  }

  /** Counts a call that ended in whatever way. */
  public void onEnded() {
    inFlight--;
    Invariant.require(inFlight >= 0, "calls in flight at a replica are not negative");
  }

  /**
   * Learns from a call that succeeded and is still counted in flight.
   *
   * @param callSlowness duration divided by the predicted duration
   */
  public void onSuccess(double callSlowness) {
    consecutiveFailures = 0;
    ejected = false;
    nextEjectionNanos = FIRST_EJECTION_NANOS;
    limit.onSuccess(callSlowness, inFlight);
    double bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, callSlowness));
    slowness += SLOWNESS_SMOOTHING * (bounded - slowness);
  }

  /**
   * Learns from a call that the replica failed.
   *
   * @param now the time
   * @return true if the replica is now left alone for a while
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
   * Learns from the replica's own word.
   *
   * @param next the report, not null
   * @param now the time
   */
  public void onReport(LoadReport next, long now) {
    report = next;
    loadReportNanos = now;
    lastReportNanos = now;
    reported = true;
    othersInFlightAtReport = Math.max(0, next.running() + next.waiting() - inFlight);
    limit.onReport(next, inFlight);
    if (slowness > 1 && inFlight == 0) {
      // An idle replica forgets its slowness, so that it is tried again after a slow spell.
      slowness += SLOWNESS_SMOOTHING * (1 - slowness);
    }
  }

  /**
   * Learns what the list says now.
   *
   * @param leaving whether the list says that the replica is leaving
   */
  public void onListed(boolean leaving) {
    listedLeaving = leaving;
  }

  /** Returns a short description for the status page. */
  @Override
  public String toString() {
    return listed.id() + " inFlight=" + inFlight + " limit=" + limit.current();
  }
}
