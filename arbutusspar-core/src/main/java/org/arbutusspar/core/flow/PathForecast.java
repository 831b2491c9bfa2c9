package org.arbutusspar.core.flow;

/**
 * Prediction for the rest of a request's path.
 *
 * @param runMillis predicted duration of the remaining stages at idle replicas
 * @param queueMillis predicted wait in the queues before them
 * @param remainingMillis time left until the deadline
 * @param costFirst whether the deployment weighs cost more than attainment
 */
public record PathForecast(
    double runMillis, double queueMillis, double remainingMillis, boolean costFirst) {}
