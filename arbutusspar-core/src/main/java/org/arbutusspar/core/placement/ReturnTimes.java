package org.arbutusspar.core.placement;

import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.Nanos;

/**
 * Chooses when clients return that an instance has rejected. All return late enough for any
 * instance to tell them from new requests by the time that they have left, and early enough for
 * clients to comply. Within that window, a client returns when room is expected: those whose
 * response can still be in time first, each at a place of its own in the room that is kept for
 * returns, as far as the rate of that room is known.
 *
 * <p>Load pattern: a burst whose rejected clients all come back. If they come back together, or
 * before there is room, most are rejected again, which costs a client more than the first time.
 *
 * <p>Times are monotonic, in nanoseconds, unless stated otherwise. Not thread-safe.
 */
public final class ReturnTimes {

  /** Earliest return, as a share of the time that the client has left. */
  private static final double MIN_SHARE = 0.22;

  /** Latest return; clients do not wait for longer than a third of the time that they have left. */
  private static final double MAX_SHARE = 0.31;

  /** Latest return of a client that is to be served like a new one, as a share of that time. */
  private static final double MAX_NEW_SHARE = 0.18;

  /**
   * Part of the time until the latest one that is in time in which clients return to be in time.
   */
  private static final double IN_TIME_FRACTION = 0.5;

  /** Earliest return, in milliseconds. */
  private static final double MIN_MILLIS = 20;

  /** Minimum of the latest return, in milliseconds. */
  private static final double MIN_LATEST_MILLIS = 50;

  /** Share of the room that is kept for returns. */
  private static final double RETURN_ROOM_SHARE = 0.25;

  private static final double MILLIS_PER_SECOND = 1_000;

  private long lastReturnAt;
  private boolean started;

  private ReturnTimes() {}

  /** Returns an object that has not chosen any time. */
  public static ReturnTimes create() {
    return new ReturnTimes();
  }

  /**
   * Chooses when the client of a rejected request returns.
   *
   * @param rejection the rejected request, not null
   * @param roomPerSecond rate at which this instance's share of the capacity serves requests, in
   *     requests a second; 0 if it is unknown
   * @param now current time
   * @return the time from now, in milliseconds
   */
  public double afterMillis(Rejection rejection, double roomPerSecond, long now) {
    double left = rejection.remainingMillis();
    double from = MIN_SHARE * left;
    double to = Math.max(MIN_LATEST_MILLIS, MAX_SHARE * left);
    double latestInTime = rejection.latestInTimeMillis();
    if (from < latestInTime) {
      to = Math.min(to, latestInTime);
    } else if (Math.max(MIN_MILLIS, rejection.roomMillis()) < latestInTime) {
      from = MIN_MILLIS;
      to = Math.min(IN_TIME_FRACTION * latestInTime, MAX_NEW_SHARE * left);
    }
    from = Math.min(to, Math.max(from, rejection.roomMillis()));
    if (roomPerSecond > 0) {
      double place = nextPlaceMillis(from, roomPerSecond, now);
      if (place <= to) {
        lastReturnAt = now + Nanos.ofMillis(Math.round(place));
        started = true;
        return place;
      }
    }
    return from + rejection.draw() * (to - from);
  }

  /** Returns the time until the next free place for a return, at least a minimum. */
  private double nextPlaceMillis(double minMillis, double roomPerSecond, long now) {
    if (!started) {
      return minMillis;
    }
    double spacing = MILLIS_PER_SECOND / (RETURN_ROOM_SHARE * roomPerSecond);
    return Math.max(minMillis, Nanos.toMillis(lastReturnAt - now) + spacing);
  }

  /**
   * A rejected request.
   *
   * @param remainingMillis time until the client's deadline, in milliseconds
   * @param latestInTimeMillis time until which it must be sent to be answered within its target, in
   *     milliseconds; negative if it cannot be
   * @param roomMillis time after which there may be room for it, in milliseconds, 0 if it is
   *     unknown
   * @param draw random number from 0 to 1 that belongs to the request
   */
  public record Rejection(
      double remainingMillis, double latestInTimeMillis, double roomMillis, double draw) {

    /** Checks the components. */
    public Rejection {
      Validate.isTrue(roomMillis >= 0, "roomMillis must not be negative");
      Validate.inclusiveBetween(0, 1, draw);
    }
  }
}
