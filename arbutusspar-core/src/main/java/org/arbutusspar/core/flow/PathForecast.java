package org.arbutusspar.core.flow;

/**
 * Predicted durations of a request over all stages of its path.
 *
 * @param runMillis predicted run time of the stages at idle replicas, in milliseconds
 * @param queueMillis predicted queue time, in milliseconds
 * @param remainingMillis time until the deadline, in milliseconds
 * @param costFirst whether the objective of the deployment puts cost before attainment, the share
 *     of requests that meet their deadlines
 */
public record PathForecast(
    double runMillis, double queueMillis, double remainingMillis, boolean costFirst) {}
