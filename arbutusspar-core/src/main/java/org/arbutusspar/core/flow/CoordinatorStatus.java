package org.arbutusspar.core.flow;

/**
 * What a coordinator holds at one moment.
 *
 * @param active requests between admission and outcome
 * @param queued requests that wait before a service
 * @param kept outcomes that are kept
 * @param forwarded callers that wait for other instances
 * @param draining whether the instance takes no new requests
 */
public record CoordinatorStatus(
    int active, int queued, int kept, int forwarded, boolean draining) {}
