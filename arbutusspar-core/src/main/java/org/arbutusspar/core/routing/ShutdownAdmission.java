package org.arbutusspar.core.routing;

import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.Nanos;

/**
 * Decides which requests an instance accepts while it shuts down. Immutable.
 *
 * <p>Load pattern: clients keep the address of an instance for several seconds after its shutdown
 * has begun, and send it requests of all lengths until it stops. At first most of them cannot know
 * of the shutdown, so the instance accepts a request if requests of its kind usually end in time.
 * Later it accepts only requests whose own deadline passes before it stops, as these cannot be cut.
 */
public final class ShutdownAdmission {

  /**
   * Time from the start of the shutdown in which the usual duration of a request decides, in
   * milliseconds. It is shorter than the three seconds for which clients rely on an address, since
   * the signal may reach the process late.
   */
  private static final long USUAL_DURATION_PHASE_MILLIS = 2_500;

  /** Usual duration of a stream with its stages, in milliseconds. */
  private static final long USUAL_STREAM_MILLIS = 4_000;

  /** Time within which most other requests end, in milliseconds. */
  private static final long USUAL_PLAIN_MILLIS = 1_000;

  private final long startedAt;
  private final long endsAt;

  private ShutdownAdmission(long startedAt, long endsAt) {
    this.startedAt = startedAt;
    this.endsAt = endsAt;
  }

  /**
   * Returns the rules of a shutdown.
   *
   * @param startedAt time at which the shutdown began, monotonic, in nanoseconds
   * @param endsAt latest time at which the instance stops, on the same clock; not before {@code
   *     startedAt}
   * @return the rules
   * @throws IllegalArgumentException if the shutdown ends before it starts
   */
  public static ShutdownAdmission of(long startedAt, long endsAt) {
    Validate.isTrue(endsAt - startedAt >= 0, "shutdown must not end before it starts");
    return new ShutdownAdmission(startedAt, endsAt);
  }

  /**
   * Returns whether to accept a request.
   *
   * @param kind kind of the request's route, not null
   * @param deadline time at which the request is ended if it has no response yet, monotonic, in
   *     nanoseconds
   * @param now current time on the same clock
   * @return true to accept the request
   */
  public boolean permits(RouteKind kind, long deadline, long now) {
    return endsAt - deadline >= 0
        || now - startedAt < Nanos.ofMillis(USUAL_DURATION_PHASE_MILLIS)
            && endsAt - now >= Nanos.ofMillis(usualMillis(kind));
  }

  private static long usualMillis(RouteKind kind) {
    return kind == RouteKind.STREAM ? USUAL_STREAM_MILLIS : USUAL_PLAIN_MILLIS;
  }
}
