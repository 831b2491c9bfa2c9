package org.arbutusspar.entry.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/** Metrics of an instance on the platform, in a separate registry. Thread-safe. */
final class GatewayMetrics {

  /** Upper bounds of the buckets of all histograms, in seconds. */
  private static final double[] BUCKET_BOUNDS_SECONDS = {0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20};

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter outcomes =
      Counter.builder()
          .name("arbutusspar_requests")
          .help("Final answers to clients by outcome and reason")
          .labelNames("outcome", "reason")
          .register(registry);
  private final Counter malformedConfigurations =
      Counter.builder()
          .name("arbutusspar_malformed_configurations")
          .help("Configurations that could not be decoded, so that the one before stays in force")
          .register(registry);
  private final Histogram responseSeconds =
      Histogram.builder()
          .name("arbutusspar_request_seconds")
          .help("Time from the request to the beginning of the answer, by kind of route")
          .labelNames("kind")
          .classicOnly()
          .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
          .register(registry);
  private final Histogram stagesSeconds =
      Histogram.builder()
          .name("arbutusspar_stages_seconds")
          .help("Time that all stages of a request took")
          .classicOnly()
          .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
          .register(registry);

  private GatewayMetrics() {}

  /** Returns metrics without gauges. */
  static GatewayMetrics create() {
    return new GatewayMetrics();
  }

  /**
   * Registers a gauge.
   *
   * @param name name of the metric, not null
   * @param help help text, not null
   * @param value called for the current value at each scrape, by any thread, not null
   */
  void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /**
   * Registers a gauge with one label.
   *
   * @param name name of the metric, not null
   * @param help help text, not null
   * @param label name of the label, not null
   * @param values called at each scrape, by any thread, for the current values by value of the
   *     label, not null
   */
  void gauges(String name, String help, String label, Supplier<Map<String, Integer>> values) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .labelNames(label)
        .callback(callback -> values.get().forEach((key, value) -> callback.call(value, key)))
        .register(registry);
  }

  /**
   * Counts a client request that has ended.
   *
   * @param outcome the outcome, not null
   * @param reason reason of the outcome, one of few values since it is a label, not null
   */
  void onOutcome(String outcome, String reason) {
    outcomes.labelValues(outcome, reason).inc();
  }

  /** Counts a configuration that could not be decoded. */
  void onMalformedConfiguration() {
    malformedConfigurations.inc();
  }

  /**
   * Records the start of a response.
   *
   * @param kind kind of the route in lower case, not null
   * @param seconds time since the arrival of the request
   */
  void onResponseStarted(String kind, double seconds) {
    responseSeconds.labelValues(kind).observe(seconds);
  }

  /**
   * Records that all stages of a request are done.
   *
   * @param seconds time since the arrival of the request
   */
  void onStagesDone(double seconds) {
    stagesSeconds.observe(seconds);
  }

  /** Returns all metrics in the Prometheus text format. */
  byte[] text() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new IllegalStateException("metrics cannot be written", e);
    }
    return out.toByteArray();
  }
}
