package org.arbutusspar.core.placement;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Chooses replicas of one service for the requests of all instances. Times are monotonic, in
 * nanoseconds. Implementations are not thread-safe.
 */
public interface EngineChooser {

  /**
   * Replaces the replicas that may be chosen.
   *
   * @param available replicas that are listed and not leaving, not null
   */
  void replicas(Collection<UpstreamReplica> available);

  /**
   * Decides on a request. A request that waits may ask again, and gets the decision as of now.
   *
   * @param request the request, not null
   * @param now current time
   * @return the decision
   */
  EngineDecision ask(EnginePlacer.EngineRequest request, long now);

  /**
   * Records that the response to a request has started, which means that its prompt is read.
   *
   * @param requestId identifier of the request, not null
   * @param now current time
   */
  void onResponseStarted(String requestId, long now);

  /**
   * Returns the work that a placed request waits for before its response starts.
   *
   * @param requestId identifier of the request, not null
   * @return the work, or empty if the request is not in flight or its response has started
   */
  Optional<EnginePlacer.FirstEventWork> workBeforeResponse(String requestId);

  /**
   * Records the load that the replica of a placed request has stated.
   *
   * @param requestId identifier of the request, not null
   * @param requests number of requests at the replica
   * @param now current time
   */
  void onStatedLoad(String requestId, int requests, long now);

  /**
   * Records that a request has ended, also while it waits. An unknown request is ignored.
   *
   * @param requestId identifier of the request, not null
   * @param responded whether its replica responded
   * @param now current time
   */
  void onEnded(String requestId, boolean responded, long now);

  /**
   * Records the end of all requests of an instance that is no longer live.
   *
   * @param origin name of the instance, not null
   * @param now current time
   */
  void removeOrigin(String origin, long now);

  /**
   * Places waiting requests for which there is room now, and rejects those that cannot be served.
   *
   * @param now current time
   * @return the decisions on requests that no longer wait
   */
  default List<Settled> settle(long now) {
    return List.of();
  }

  /** Returns the number of requests that wait. */
  default int waiting() {
    return 0;
  }

  /**
   * Returns the expected wait of a further request that is as urgent as the least urgent one.
   *
   * @param now current time
   * @return the wait in milliseconds
   */
  default long expectedWaitMillis(long now) {
    return 0;
  }

  /**
   * The decision on a request that has waited.
   *
   * @param request the request
   * @param decision a replica or a rejection
   * @param reason why the request no longer waits
   * @param forecastMillis wait that was expected when it began to wait, in milliseconds
   * @param waitedMillis time that it has waited, in milliseconds
   */
  record Settled(
      EnginePlacer.EngineRequest request,
      EngineDecision decision,
      Reason reason,
      long forecastMillis,
      long waitedMillis) {}

  /** Why a request no longer waits. */
  enum Reason {
    /** A replica has room for it. */
    ROOM,
    /** No replica is left, as when all are evacuated. */
    NO_REPLICA,
    /** It cannot be answered before its deadline. */
    NO_TIME,
    /** It can no longer be in time, and others that wait can. */
    GAVE_WAY,
    /** More requests wait than the queue holds, and the others come before it. */
    QUEUE_FULL
  }
}
