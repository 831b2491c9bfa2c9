package org.arbutusspar.core.placement;

import java.util.Map;
import java.util.Objects;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.BoundedMaps;
import org.arbutusspar.core.Nanos;

/**
 * Admission control of the requests of one service whose replicas queue requests themselves. Each
 * instance decides alone, by the queues that the replicas state in their responses to it. A request
 * is admitted if its expected wait uses at most a share of its slack, the time that its target
 * leaves beyond the work. The share is lower for less urgent requests and for those that exceed the
 * usual load of their kind, and higher for those that came back after a rejection, so that the rest
 * of the queue is theirs.
 *
 * <p>Load pattern: a burst of one kind of request beyond the capacity of a few replicas with a few
 * slots, which other kinds use as well. Without a limit it fills the queues, and the requests of
 * all kinds are late or rejected alike.
 *
 * <p>Times are monotonic, in nanoseconds, unless stated otherwise. Not thread-safe.
 */
public final class PlainServiceLimit {

  /** Maximum shares of the slack that the expected wait may use, by priority rank. */
  private static final double[] WAIT_SHARES_BY_PRIORITY = {1, 0.9, 0.8};

  /** Part of these shares that requests may use which exceed the usual load of their kind. */
  private static final double BURST_SHARE = 0.4;

  /**
   * Smallest part of that share. Each request of a burst has its own part, so that instances which
   * read the same reports do not all change from admitting to rejecting at once.
   */
  private static final double MIN_BURST_FRACTION = 0.5;

  /** Maximum share of the slack of a new request that the wait of a client retry may use. */
  private static final double CLIENT_RETRY_WAIT_SHARE = 1.25;

  /** Minimum number of queued requests for each slot of a replica that requests are sent to. */
  private static final double MIN_QUEUE_PER_SLOT = 1;

  /** Maximum of that number, since replicas reject requests beyond a queue of a few. */
  private static final double MAX_QUEUE_PER_SLOT = 3;

  /** Time within which the weight of the stated queues falls linearly from one to zero. */
  private static final long REPORT_VALIDITY_NANOS = Nanos.ofMillis(1_000);

  /** Time constant of the averages of stated queues, in milliseconds. */
  private static final double AVERAGING_MILLIS = 150;

  /** Minimum weight of the newest figure in an average. */
  private static final double MIN_WEIGHT = 0.2;

  private static final int MAX_KINDS = 256;

  private final Map<String, UsualLoad> kinds = BoundedMaps.droppingOldest(MAX_KINDS);
  private double workMillis;
  private double queuePerSlot;
  private long reportedAt;
  private boolean reported;

  private PlainServiceLimit() {}

  /** Returns a limit for a service that nothing is known about. */
  public static PlainServiceLimit create() {
    return new PlainServiceLimit();
  }

  /**
   * Records the load that a replica of the service states in a response.
   *
   * @param load the load, not null
   * @param now current time
   */
  public void onReport(StatedLoad load, long now) {
    double current = (double) load.waiting() / Math.max(1, load.slots());
    if (isStale(now)) {
      queuePerSlot = current;
    } else {
      double age = Nanos.toMillis(now - reportedAt);
      double weight = Math.max(MIN_WEIGHT, 1 - Math.exp(-age / AVERAGING_MILLIS));
      queuePerSlot += weight * (current - queuePerSlot);
    }
    reportedAt = now;
    reported = true;
  }

  /**
   * Records the time of a valid response.
   *
   * @param millis time from sending the request to its response, in milliseconds
   * @param load load that the replica stated in it, not null
   */
  public void onValidResponse(double millis, StatedLoad load) {
    double queue = (double) load.waiting() / Math.max(1, load.slots());
    double work = millis / (1 + queue);
    workMillis = workMillis == 0 ? work : workMillis + MIN_WEIGHT * (work - workMillis);
  }

  /**
   * Decides whether to admit a request, and records it.
   *
   * @param request the request, not null
   * @param now current time
   * @return the decision
   */
  public Decision decide(Request request, long now) {
    boolean withinUsualLoad =
        kinds.computeIfAbsent(request.kind(), kind -> UsualLoad.create()).onRequest(now);
    double waitMillis = waitMillis(now);
    double maxWaitMillis = maxWaitMillis(request, withinUsualLoad);
    Verdict verdict;
    double knownWorkMillis = isStale(now) ? 0 : workMillis;
    if (knownWorkMillis + waitMillis > request.remainingMillis()) {
      verdict = Verdict.NO_TIME;
    } else if (waitMillis > maxWaitMillis) {
      verdict = Verdict.OVERLOAD;
    } else {
      verdict = Verdict.TAKE;
    }
    return new Decision(verdict, waitMillis, maxWaitMillis, maxQueuePerSlot(maxWaitMillis));
  }

  private double maxWaitMillis(Request request, boolean withinUsualLoad) {
    double slackMillis = Math.max(0, request.targetMillis() - workMillis);
    if (request.isClientRetry()) {
      return CLIENT_RETRY_WAIT_SHARE * slackMillis;
    }
    double[] shares = WAIT_SHARES_BY_PRIORITY;
    double share = shares[Math.min(shares.length - 1, request.priority())];
    double burstFraction = MIN_BURST_FRACTION + (1 - MIN_BURST_FRACTION) * request.draw();
    return share * slackMillis * (withinUsualLoad ? 1 : BURST_SHARE * burstFraction);
  }

  /** Returns the queue that a request may join at a replica, for each of its slots. */
  private double maxQueuePerSlot(double maxWaitMillis) {
    return workMillis == 0
        ? MIN_QUEUE_PER_SLOT
        : Math.max(MIN_QUEUE_PER_SLOT, Math.min(MAX_QUEUE_PER_SLOT, maxWaitMillis / workMillis));
  }

  /**
   * Returns the expected wait of a request for a slot.
   *
   * @param now current time
   * @return the wait in milliseconds, 0 if no queue has been stated recently
   */
  public double waitMillis(long now) {
    if (isStale(now)) {
      return 0;
    }
    return queuePerSlot * workMillis * (1 - (double) (now - reportedAt) / REPORT_VALIDITY_NANOS);
  }

  private boolean isStale(long now) {
    return !reported || now - reportedAt >= REPORT_VALIDITY_NANOS;
  }

  /** Returns the smoothed time of the work for a request in milliseconds, 0 if it is unknown. */
  public double workMillis() {
    return workMillis;
  }

  /** Decision on the admission of a request. */
  public enum Verdict {
    /** The request is admitted. */
    TAKE,
    /** The request is rejected: it cannot be answered before its deadline. */
    NO_TIME,
    /** The request is rejected: its expected wait exceeds its share of the slack. */
    OVERLOAD
  }

  /**
   * A request to be admitted.
   *
   * @param kind name of its kind; the requests of a route are of one kind
   * @param priority priority rank, 0 is the most urgent
   * @param targetMillis time within which its response counts as in time, in milliseconds
   * @param remainingMillis time until its deadline, in milliseconds
   * @param isClientRetry whether the client has probably sent it before and been rejected
   * @param draw random number from 0 to 1 that belongs to the request
   */
  public record Request(
      String kind,
      int priority,
      double targetMillis,
      double remainingMillis,
      boolean isClientRetry,
      double draw) {

    /** Checks the components. */
    public Request {
      Objects.requireNonNull(kind, "kind");
      Validate.isTrue(priority >= 0, "priority must not be negative");
      Validate.inclusiveBetween(0, 1, draw);
    }
  }

  /**
   * A decision with what it is based on.
   *
   * @param verdict the verdict
   * @param waitMillis expected wait for a slot, in milliseconds
   * @param maxWaitMillis longest wait with which the request may be admitted, in milliseconds
   * @param maxQueuePerSlot queue that it may join at a replica, in requests for each slot
   */
  public record Decision(
      Verdict verdict, double waitMillis, double maxWaitMillis, double maxQueuePerSlot) {}
}
