package org.arbutusspar.core.placement;

/** Estimated speeds of replicas. Times are monotonic, in nanoseconds. */
@FunctionalInterface
public interface ReplicaSpeeds {

  /** Speeds of replicas that are all taken for equal. */
  ReplicaSpeeds EQUAL = (replica, now) -> 1;

  /**
   * Returns the speed of a replica relative to the usual one of its service.
   *
   * @param replica the replica, not null
   * @param now current time
   * @return the factor by which it works faster, above 0; 1 if nothing is known
   */
  double relativeSpeed(UpstreamReplica replica, long now);
}
