package org.arbutusspar.core.flow;

import org.arbutusspar.core.balancing.Pool;
import org.arbutusspar.core.balancing.Replica;
import org.arbutusspar.core.id.AttemptId;

/**
 * One call of a stage that was sent to a replica and has not ended.
 *
 * @param id identifier of the attempt
 * @param pool pool of the replica
 * @param replica the replica
 * @param sentNanos monotonic time at which it was sent, in nanoseconds
 * @param units size of the call in the units of the service's cost model, such as tokens or
 *     characters
 * @param predictedMillis predicted duration at an idle replica, in milliseconds
 */
record Attempt(
    AttemptId id,
    Pool pool,
    Replica replica,
    long sentNanos,
    double units,
    double predictedMillis) {}
