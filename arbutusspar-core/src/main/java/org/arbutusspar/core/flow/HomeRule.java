package org.arbutusspar.core.flow;

import java.util.Optional;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.id.RequestId;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.core.request.Reason;

/**
 * Decides whether the incarnation that is home to an identifier may start a non-repeatable request
 * under it.
 *
 * <p>A request is started only within {@link #START_WINDOW_MILLIS} of the identifier's issue, and
 * its outcome is kept for much longer. So an identifier without a kept outcome was never started,
 * until it is so old that an outcome may have been forgotten.
 */
final class HomeRule {

  /** How long after its issue a request may start under an identifier. */
  static final long START_WINDOW_MILLIS = 60_000;

  /** Largest difference between the wall clocks of two instances. */
  static final long MAX_CLOCK_SKEW_MILLIS = 30_000;

  private static final String STEP = "identifier";

  private HomeRule() {}

  /**
   * Returns why a request without a kept outcome may not start.
   *
   * @param id the identifier
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
   * Returns whether the outcome of a request under an identifier may have been forgotten.
   *
   * @param id the identifier
   * @param wallMillis wall-clock time, milliseconds since the epoch
   * @return true if no kept outcome proves nothing
   */
  static boolean mayHaveExpired(RequestId id, long wallMillis) {
    long retentionMillis = (long) Nanos.toMillis(OutcomeStore.RETENTION_NANOS);
    return wallMillis - id.prefix().issuedAtMillis() >= retentionMillis - MAX_CLOCK_SKEW_MILLIS;
  }
}
