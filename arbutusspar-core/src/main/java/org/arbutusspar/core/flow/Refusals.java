package org.arbutusspar.core.flow;

import java.util.List;
import org.arbutusspar.core.request.Outcome.Origin;
import org.arbutusspar.core.request.Outcome.Refused;
import org.arbutusspar.core.request.Outcome.Verdict;
import org.arbutusspar.core.request.Reason;

/** Factory for outcomes without an answer of requests that this instance did not start. */
final class Refusals {

  private Refusals() {}

  static Refused notRun(Reason reason, String step, long retryAfterMillis) {
    return new Refused(Verdict.NOT_RUN, reason, Origin.local(step), retryAfterMillis, List.of());
  }

  static Refused unknown(Reason reason, Origin origin) {
    return new Refused(Verdict.UNKNOWN, reason, origin, Refused.NEVER, List.of());
  }
}
