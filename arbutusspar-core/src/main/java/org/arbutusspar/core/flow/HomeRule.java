package org.arbutusspar.core.flow;

import java.util.Optional;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.id.RequestId;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Reason;

/**
 * Decides whether a non-repeatable request without a stored outcome may start at its home, the
 * incarnation that issued its identifier.
 *
 * <p>A request starts only within {@link #START_WINDOW_MILLIS} after its identifier was issued, and
 * its outcome is stored for {@link OutcomeStore#RETENTION_NANOS}, which is much longer. If no
 * outcome is stored, the request therefore never started, unless the identifier is so old that the
 * outcome may have expired.
 */
final class HomeRule {

  /** Time after the issue of an identifier within which its request may start, in milliseconds. */
  static final long START_WINDOW_MILLIS = 60_000;

  /** Assumed maximum difference between the wall clocks of two instances, in milliseconds. */
  static final long MAX_CLOCK_SKEW_MILLIS = 30_000;

  private static final String STEP = "identifier";

  private HomeRule() {}

  /**
   * Returns why a request without a stored outcome may not start.
   *
   * @param id identifier of the request
   * @param wallMillis wall-clock time, milliseconds since the epoch
   * @return the refusal, or empty if the request may start
   */
  static Optional<Outcome.Refused> refusal(RequestId id, long wallMillis) {
    long ageMillis = wallMillis - id.prefix().issuedAtMillis();
    if (ageMillis >= -MAX_CLOCK_SKEW_MILLIS
        && ageMillis <= START_WINDOW_MILLIS + MAX_CLOCK_SKEW_MILLIS) {
      return Optional.empty();
    }
    return Optional.of(
        mayHaveExpired(id, wallMillis)
            ? Refusals.unknown(Reason.NOT_KEPT, Outcome.Origin.local(STEP))
            : Refusals.notRun(Reason.IDENTIFIER_EXPIRED, STEP, 0));
  }

  /**
   * Returns whether an outcome that was stored for a request may have expired.
   *
   * @param id identifier of the request
   * @param wallMillis wall-clock time, milliseconds since the epoch
   * @return true if the request may have run although no outcome is stored
   */
  static boolean mayHaveExpired(RequestId id, long wallMillis) {
    long retentionMillis = (long) Nanos.toMillis(OutcomeStore.RETENTION_NANOS);
    return wallMillis - id.prefix().issuedAtMillis() >= retentionMillis - MAX_CLOCK_SKEW_MILLIS;
  }
}
