package org.arbutusspar.core.placement;

/**
 * Pace at which a chooser sends requests to replicas that have just started or recovered. Times are
 * monotonic, in nanoseconds.
 */
public interface ReplicaPace {

  /** Number of requests in flight of a replica that is not paced. */
  int UNLIMITED = Integer.MAX_VALUE;

  /** Pace that leaves every replica as it is. */
  ReplicaPace NONE =
      new ReplicaPace() {
        @Override
        public int limit(UpstreamReplica replica, long now) {
          return UNLIMITED;
        }

        @Override
        public int maxLimit(UpstreamReplica replica, long now) {
          return UNLIMITED;
        }

        @Override
        public boolean isDoubtful(UpstreamReplica replica, long now) {
          return false;
        }

        @Override
        public void onChosen(UpstreamReplica replica, long now) {}

        @Override
        public void onResponse(
            UpstreamReplica replica, double elapsedMillis, double expectedMillis, long now) {}

        @Override
        public boolean onFailure(UpstreamReplica replica, long sentAt, long now) {
          return false;
        }
      };

  /**
   * Returns the number of requests in flight up to which a replica is chosen while others have
   * room.
   *
   * @param replica the replica, not null
   * @param now current time
   * @return the number; {@link #UNLIMITED} if the replica is not paced
   */
  int limit(UpstreamReplica replica, long now);

  /**
   * Returns the number of requests in flight up to which a replica is chosen although no other has
   * room.
   *
   * @param replica the replica, not null
   * @param now current time
   * @return the number; {@link #UNLIMITED} unless the replica is to be tested first
   */
  int maxLimit(UpstreamReplica replica, long now);

  /**
   * Returns whether a replica has failed and has not been found sound since. It should get no
   * requests that must not be repeated while others have room.
   *
   * @param replica the replica, not null
   * @param now current time
   * @return true if it is still to be tested
   */
  boolean isDoubtful(UpstreamReplica replica, long now);

  /**
   * Records that a replica has been chosen for a request.
   *
   * @param replica the replica, not null
   * @param now current time
   */
  void onChosen(UpstreamReplica replica, long now);

  /**
   * Records a sound response.
   *
   * @param replica the replica, not null
   * @param elapsedMillis time from the choice of the replica to the response in milliseconds
   * @param expectedMillis time that the request should have taken, in milliseconds, over 0; only
   *     its ratio to that of other requests of the service counts
   * @param now current time
   */
  void onResponse(UpstreamReplica replica, double elapsedMillis, double expectedMillis, long now);

  /**
   * Records a request that got no valid response.
   *
   * @param replica the replica, not null
   * @param sentAt time when the replica was chosen for the request
   * @param now current time
   * @return whether the replica is paced from now on, so that it needs no other cooldown
   */
  boolean onFailure(UpstreamReplica replica, long sentAt, long now);
}
