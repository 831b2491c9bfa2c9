package org.arbutusspar.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.DoubleSupplier;
import org.arbutusspar.core.flow.Decision;
import org.arbutusspar.core.request.Outcome;

/**
 * Prometheus metrics of an instance. They are held in a separate registry, so that several
 * instances can run in one process. Thread-safe.
 */
final class EntryMetrics {

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter outcomes =
      counter("arbutusspar_outcomes", "Final answers to callers", "outcome", "reason");
  private final Counter stageCalls =
      counter("arbutusspar_stage_calls", "Attempts sent to replicas", "service");
  private final Counter stageSeconds =
      counter("arbutusspar_stage_seconds", "Time of attempts at replicas", "service");
  private final Counter stagePrice =
      counter("arbutusspar_stage_price", "Price of attempts at replicas", "service");
  private final Counter decisions = counter("arbutusspar_decisions", "Decisions by kind", "kind");

  private EntryMetrics() {}

  /** Returns metrics whose counters are 0. */
  static EntryMetrics create() {
    return new EntryMetrics();
  }

  private Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  /**
   * Registers a gauge.
   *
   * @param name name of the metric, not null
   * @param help help text of the metric, not null
   * @param valueSupplier returns the value; called on the thread that fetches the metrics, not null
   */
  void gauge(String name, String help, DoubleSupplier valueSupplier) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(valueSupplier.getAsDouble()))
        .register(registry);
  }

  /**
   * Counts an attempt.
   *
   * @param service name of the service to which it was sent, not null
   */
  void onSend(String service) {
    stageCalls.labelValues(service).inc();
  }

  /**
   * Counts a decision under its kind.
   *
   * @param decision the decision, not null
   */
  void onDecision(Decision decision) {
    decisions.labelValues(decision.kind().name().toLowerCase(Locale.ROOT)).inc();
  }

  /**
   * Counts an outcome and adds the time and price of its stages.
   *
   * @param outcome the outcome, not null
   */
  void onOutcome(Outcome outcome) {
    if (outcome instanceof Outcome.Refused refused) {
      String verdict = refused.verdict().name().toLowerCase(Locale.ROOT);
      outcomes.labelValues(verdict, refused.reason().label()).inc();
    } else {
      outcomes.labelValues("answered", "").inc();
    }
    for (Outcome.StageCost cost : outcome.costs()) {
      stageSeconds.labelValues(cost.service()).inc(cost.millis() / 1_000);
      stagePrice.labelValues(cost.service()).inc(cost.price());
    }
  }

  /** Returns all metrics in the Prometheus text format. */
  String scrape() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new IllegalStateException("metrics cannot be written", e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}
