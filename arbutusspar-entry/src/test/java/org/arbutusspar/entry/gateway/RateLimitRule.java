package org.arbutusspar.entry.gateway;

import java.util.List;
import org.arbutusspar.platform.standin.ReplicaStandin;

/**
 * The users' rule on replicas that state a limit on their request rate: from the stability window
 * after the first statement, any four seconds hold at most one and a half times what the limit
 * allows and five requests, from all instances that got a statement half a second before.
 */
final class RateLimitRule {

  static final long STABILITY_NANOS = 3_000_000_000L;
  private static final long KNOWN_AFTER_NANOS = 500_000_000L;
  private static final long WINDOW_NANOS = 4_000_000_000L;
  private static final double WINDOW_SECONDS = 4;
  private static final double RATE_FACTOR = 1.5;
  private static final double ALLOWANCE = 5;

  private RateLimitRule() {}

  /** Returns the maximum number of requests in a window. */
  static double allowed(double perSecond) {
    return RATE_FACTOR * perSecond * WINDOW_SECONDS + ALLOWANCE;
  }

  /** Returns the largest number of requests that counts in any window since the limit is stated. */
  static int mostInWindow(ReplicaStandin replica) {
    long from = replica.limitedSince() + STABILITY_NANOS;
    List<Long> counted =
        replica.arrivals().stream()
            .filter(arrival -> arrival.nanos() - from >= 0 && isKnownTo(replica, arrival))
            .map(ReplicaStandin.Arrival::nanos)
            .sorted()
            .toList();
    int most = 0;
    int first = 0;
    for (int last = 0; last < counted.size(); last++) {
      while (counted.get(last) - counted.get(first) >= WINDOW_NANOS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  private static boolean isKnownTo(ReplicaStandin replica, ReplicaStandin.Arrival arrival) {
    Long stated = replica.limitStatedNanos().get(arrival.sender());
    return stated != null && arrival.nanos() - stated >= KNOWN_AFTER_NANOS;
  }
}
