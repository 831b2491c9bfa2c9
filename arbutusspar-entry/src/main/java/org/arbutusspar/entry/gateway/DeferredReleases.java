package org.arbutusspar.entry.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.placement.ReplicaRateLimits;
import org.arbutusspar.core.placement.ReplicaRegistry;
import org.arbutusspar.core.placement.SendPermits;
import org.arbutusspar.core.placement.UpstreamReplica;

/**
 * Decides when results may be released at replicas that want no requests now, limit their rate or
 * are evacuated, and gives the permits for calls to these replicas. While a release waits for a
 * permit, calls for pieces do not take it, since they need the memory that the release frees.
 *
 * <p>Not thread-safe.
 */
final class DeferredReleases implements SendPermits {

  /** Time for which calls are held back while a release waits; the results expire within it. */
  private static final long MAX_DELAY_NANOS = Nanos.ofMillis(10_000);

  private final ReplicaRegistry replicas;
  private final ReplicaRateLimits rateLimits;

  /** Time since when the first release to a replica has waited for a permit, by incarnation. */
  private final Map<String, Long> waitingSince = new HashMap<>();

  /** What to do with a release. */
  enum Decision {
    SEND,
    DEFER,
    DROP
  }

  private DeferredReleases(ReplicaRegistry replicas, ReplicaRateLimits rateLimits) {
    this.replicas = replicas;
    this.rateLimits = rateLimits;
  }

  /**
   * Returns an object without releases that wait.
   *
   * @param replicas the listed replicas, not null
   * @param rateLimits limits on the request rate that replicas have stated, not null
   * @return the object
   */
  static DeferredReleases create(ReplicaRegistry replicas, ReplicaRateLimits rateLimits) {
    return new DeferredReleases(replicas, rateLimits);
  }

  /**
   * Decides on a release, and takes the permit for it if it is to be sent.
   *
   * @param endpoint endpoint of the replica that holds the results, not null
   * @param now current monotonic time, in nanoseconds
   * @return what to do with the release
   */
  Decision decide(Endpoint endpoint, long now) {
    waitingSince.values().removeIf(since -> now - since >= MAX_DELAY_NANOS);
    Optional<UpstreamReplica> found = replicas.findAt(endpoint);
    if (found.isEmpty()) {
      return Decision.SEND;
    }
    UpstreamReplica replica = found.get();
    if (replicas.isEvacuated(replica)) {
      return Decision.DROP;
    }
    if (replicas.isBackingOff(replica, now)) {
      return Decision.DEFER;
    }
    if (rateLimits.isAvailable(replica, now)) {
      rateLimits.take(replica, now);
      waitingSince.remove(replica.incarnation());
      return Decision.SEND;
    }
    if (rateLimits.nanosUntilAvailable(replica, now).isEmpty()) {
      return Decision.DROP;
    }
    waitingSince.putIfAbsent(replica.incarnation(), now);
    return Decision.DEFER;
  }

  @Override
  public boolean isAvailable(UpstreamReplica replica, long now) {
    return !waitingSince.containsKey(replica.incarnation()) && rateLimits.isAvailable(replica, now);
  }

  @Override
  public void take(UpstreamReplica replica, long now) {
    rateLimits.take(replica, now);
  }
}
