package org.arbutusspar.entry.gateway;

import java.util.function.Supplier;

/** Registers the gauges that show the last {@link StateSnapshot} of an instance. */
final class SnapshotGauges {

  private SnapshotGauges() {}

  /**
   * Registers the gauges.
   *
   * @param metrics metrics of the instance, not null
   * @param snapshot supplies the last snapshot to any thread, not null
   */
  static void register(GatewayMetrics metrics, Supplier<StateSnapshot> snapshot) {
    registerTables(metrics, snapshot);
    registerServices(metrics, snapshot);
    registerReplicas(metrics, snapshot);
  }

  private static void registerTables(GatewayMetrics metrics, Supplier<StateSnapshot> snapshot) {
    metrics.gauge(
        "arbutusspar_configuration_version",
        "Version of the configuration in force, -1 if there is none",
        () -> snapshot.get().configurationVersion());
    metrics.gauge(
        "arbutusspar_configuration_behind_milliseconds",
        "Time for which a live peer has had changes of the configuration that this instance lacks",
        () -> snapshot.get().configurationBehindMillis());
    metrics.gauge(
        "arbutusspar_live_instances",
        "Instances heard of lately, this one included",
        () -> snapshot.get().liveInstances());
  }

  private static void registerServices(GatewayMetrics metrics, Supplier<StateSnapshot> snapshot) {
    metrics.gauge(
        "arbutusspar_waiting_pieces",
        "Pieces that wait here for a call, for the requests of all instances",
        () -> snapshot.get().waitingPieces());
    metrics.gauges(
        "arbutusspar_queue_wait_milliseconds",
        "Expected wait of a new piece, for each service gathered here",
        "service",
        () -> snapshot.get().queueWaitMillis());
    metrics.gauges(
        "arbutusspar_repeats_left",
        "Requests that may be sent to a service once more now",
        "service",
        () -> snapshot.get().retriesLeft());
    metrics.gauges(
        "arbutusspar_engine_queue_length",
        "Requests that wait here for room at an engine, of all instances",
        "service",
        () -> snapshot.get().engineQueueLengths());
    metrics.gauges(
        "arbutusspar_engine_wait_milliseconds",
        "Expected wait for room at an engine of a further request",
        "service",
        () -> snapshot.get().engineWaitMillis());
  }

  private static void registerReplicas(GatewayMetrics metrics, Supplier<StateSnapshot> snapshot) {
    metrics.gauges(
        "arbutusspar_replicas",
        "Listed replicas by state: usable, resting after failures, evacuated, leaving",
        "state",
        () -> snapshot.get().replicasByState());
    metrics.gauge(
        "arbutusspar_blocked_prompt_parts",
        "Prompt parts that crashed model engines, whose requests are rejected",
        () -> snapshot.get().blockedPromptParts());
    metrics.gauge(
        "arbutusspar_blocked_requests",
        "Requests that crashed replicas, whose repeats are rejected",
        () -> snapshot.get().blockedRequests());
    metrics.gauge(
        "arbutusspar_limited_replicas",
        "Replicas that limit the rate of the requests of all instances together",
        () -> snapshot.get().limitedReplicas());
    metrics.gauges(
        "arbutusspar_paced_replicas",
        "Replicas that have started or failed lately and get few requests from this instance",
        "service",
        () -> snapshot.get().pacedReplicas());
    metrics.gauge(
        "arbutusspar_cold_replicas",
        "Replicas that are cold, for which requests are limited",
        () -> snapshot.get().coldReplicas());
    metrics.gauges(
        "arbutusspar_evacuated_seconds",
        "Time since this instance learned of the evacuation of a data centre",
        "data_centre",
        () -> snapshot.get().evacuatedSeconds());
  }
}
