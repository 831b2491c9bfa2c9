package org.arbutusspar.entry.gateway;

import java.util.Map;

/**
 * What an instance believes at a moment, for its metrics. Immutable; made on the loop, read by any
 * thread.
 *
 * @param configurationVersion version of the configuration in force, -1 if there is none
 * @param replicasByState number of listed replicas that are usable, resting or leaving
 * @param queueWaitMillis for each service gathered here, how long a new piece waits
 * @param liveInstances instances heard of lately, this one included
 * @param waitingPieces pieces that wait here, for the requests of all instances
 * @param retriesLeft for each service that has had requests, extra requests that may be sent now
 */
record StateSnapshot(
    long configurationVersion,
    Map<String, Integer> replicasByState,
    Map<String, Integer> queueWaitMillis,
    int liveInstances,
    int waitingPieces,
    Map<String, Integer> retriesLeft) {

  /** Beliefs of an instance that has learned nothing. */
  static final StateSnapshot NONE = new StateSnapshot(-1, Map.of(), Map.of(), 1, 0, Map.of());

  StateSnapshot {
    replicasByState = Map.copyOf(replicasByState);
    queueWaitMillis = Map.copyOf(queueWaitMillis);
    retriesLeft = Map.copyOf(retriesLeft);
  }
}
