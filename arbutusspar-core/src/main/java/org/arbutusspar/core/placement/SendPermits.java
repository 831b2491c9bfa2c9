package org.arbutusspar.core.placement;

/** Permits that are needed to send requests to replicas. Times are monotonic, in nanoseconds. */
public interface SendPermits {

  /** Permits for replicas that limit nothing. */
  SendPermits UNLIMITED =
      new SendPermits() {
        @Override
        public boolean isAvailable(UpstreamReplica replica, long now) {
          return true;
        }

        @Override
        public void take(UpstreamReplica replica, long now) {}
      };

  /**
   * Returns whether a request may be sent to a replica.
   *
   * @param replica the replica, not null
   * @param now current time
   * @return true if there is a permit to be taken
   */
  boolean isAvailable(UpstreamReplica replica, long now);

  /**
   * Takes the permit for one request, also if none is available.
   *
   * @param replica the replica, not null
   * @param now current time
   */
  void take(UpstreamReplica replica, long now);
}
