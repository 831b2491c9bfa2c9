package org.arbutusspar.core.flow;

/**
 * Counts of a coordinator's requests and outcomes at one moment.
 *
 * @param active number of requests between admission and outcome
 * @param queued number of requests in the queues of services
 * @param kept number of stored outcomes
 * @param forwarded number of callers that wait for another instance
 * @param draining whether the instance is draining and accepts no new requests
 */
public record CoordinatorStatus(
    int active, int queued, int kept, int forwarded, boolean draining) {}
