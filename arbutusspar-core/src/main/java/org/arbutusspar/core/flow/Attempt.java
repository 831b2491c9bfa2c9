package org.arbutusspar.core.flow;

import org.arbutusspar.core.balancing.Pool;
import org.arbutusspar.core.balancing.Replica;
import org.arbutusspar.core.id.AttemptId;

/**
 * One attempt that has been sent and has not ended.
 *
 * @param id its identity
 * @param pool pool of the replica
 * @param replica the replica
 * @param sentNanos when it was sent
 * @param units amount of the service's driver
 * @param predictedMillis predicted duration at an idle replica
 */
record Attempt(
    AttemptId id,
    Pool pool,
    Replica replica,
    long sentNanos,
    double units,
    double predictedMillis) {}
