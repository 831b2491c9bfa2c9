package org.arbutusspar.entry.gateway;

import java.util.Map;

/**
 * Snapshot of the state of an instance, from which its metrics are read. Immutable: it is created
 * on the event loop and may be read by any thread.
 *
 * @param configurationVersion version of the configuration in force, or -1 if there is none
 * @param replicasByState number of listed replicas by state: "usable", "resting" (cooling down
 *     after failures), "evacuated" or "leaving"
 * @param queueWaitMillis expected queue wait of a new piece in milliseconds, by name of each
 *     service batched at this instance
 * @param liveInstances number of live instances, including this one
 * @param waitingPieces number of pieces queued at this instance, of the requests of all instances
 * @param retriesLeft number of retries that the retry budget permits now, by name of each service
 *     that has received requests
 * @param engineQueueLengths number of requests that wait here for an engine, by service
 * @param engineWaitMillis expected wait of a further request in milliseconds, by service
 * @param blockedPromptParts number of prompt parts whose requests are rejected
 * @param blockedRequests number of requests whose repeats are rejected
 * @param limitedReplicas number of replicas that limit their request rate
 * @param coldReplicas number of cold replicas
 * @param evacuatedSeconds time since this instance learned of each evacuation in seconds, by name
 *     of the data centre
 * @param pacedReplicas number of replicas that have started or failed recently and are paced, by
 *     name of the service
 * @param configurationBehindMillis time for which a live peer has had changes of the configuration
 *     that this instance lacks, in milliseconds, 0 if there is none
 */
record StateSnapshot(
    long configurationVersion,
    Map<String, Integer> replicasByState,
    Map<String, Integer> queueWaitMillis,
    int liveInstances,
    int waitingPieces,
    Map<String, Integer> retriesLeft,
    Map<String, Integer> engineQueueLengths,
    Map<String, Integer> engineWaitMillis,
    int blockedPromptParts,
    int blockedRequests,
    int limitedReplicas,
    int coldReplicas,
    Map<String, Integer> evacuatedSeconds,
    Map<String, Integer> pacedReplicas,
    long configurationBehindMillis) {

  /** State of an instance that has read nothing from the store and knows no peer. */
  static final StateSnapshot NONE =
      new StateSnapshot(
          -1, Map.of(), Map.of(), 1, 0, Map.of(), Map.of(), Map.of(), 0, 0, 0, 0, Map.of(),
          Map.of(), 0);

  /** Copies the maps. */
  StateSnapshot {
    replicasByState = Map.copyOf(replicasByState);
    queueWaitMillis = Map.copyOf(queueWaitMillis);
    retriesLeft = Map.copyOf(retriesLeft);
    engineQueueLengths = Map.copyOf(engineQueueLengths);
    engineWaitMillis = Map.copyOf(engineWaitMillis);
    evacuatedSeconds = Map.copyOf(evacuatedSeconds);
    pacedReplicas = Map.copyOf(pacedReplicas);
  }
}
