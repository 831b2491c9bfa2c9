package org.arbutusspar.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.arbutusspar.io.codec.Mappers;

/**
 * Statistics of a load test: outcomes, latencies, cost by service and attainment, which is the
 * share of requests that were answered before their deadline. Safe for use by several threads.
 */
final class LoadStats {

  private static final int SIGNIFICANT_DIGITS = 3;

  /** Largest latency that the histograms hold; longer ones are recorded as this. */
  private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(5);

  private static final double[] PERCENTILES = {50, 90, 95, 99, 99.9};

  private final Histogram answeredMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram unansweredMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  private final Map<String, Long> countByOutcome = new TreeMap<>();
  private final Map<String, ServiceTotals> totalsByService = new TreeMap<>();
  private final Map<String, WorkspaceTotals> totalsByWorkspace = new TreeMap<>();
  private long sent;
  private long completed;
  private long measuredRequests;
  private long answeredInTime;
  private long wrongAnswers;
  private double priceOfMissed;

  private LoadStats() {}

  static LoadStats create() {
    return new LoadStats();
  }

  synchronized void onSent() {
    sent++;
  }

  /**
   * Records the end of a request. Of a request that is not measured, only a wrong answer counts.
   *
   * @param spec the request
   * @param result its result
   * @param latencyNanos time from when it was due to its end, simulated delays included
   * @param correct whether the answer passed the check
   * @param measured whether the request counts in the statistics
   */
  synchronized void onCompleted(
      CallSpec spec, CallResult result, long latencyNanos, boolean correct, boolean measured) {
    completed++;
    wrongAnswers += correct ? 0 : 1;
    if (!measured) {
      return;
    }
    measuredRequests++;
    long micros = Math.min(MAX_LATENCY_MICROS, TimeUnit.NANOSECONDS.toMicros(latencyNanos));
    boolean inTime =
        result.isAnswered() && latencyNanos <= TimeUnit.MILLISECONDS.toNanos(spec.deadlineMillis());
    if (result.isAnswered()) {
      answeredMicros.recordValue(micros);
    } else {
      unansweredMicros.recordValue(micros);
    }
    answeredInTime += inTime ? 1 : 0;
    String label =
        result.isAnswered()
            ? inTime ? "answered in time" : "answered late"
            : result.outcome() + " " + result.reason();
    countByOutcome.merge(label, 1L, Long::sum);
    totalsByWorkspace.computeIfAbsent(spec.workspace(), w -> new WorkspaceTotals()).add(inTime);
    result.body().ifPresent(body -> addCosts(body, inTime));
  }

  private void addCosts(JsonNode body, boolean inTime) {
    for (JsonNode cost : body.path("costs")) {
      double price = cost.path("price").asDouble();
      totalsByService
          .computeIfAbsent(cost.path("service").asText(), s -> new ServiceTotals())
          .add(cost.path("millis").asDouble(), price);
      priceOfMissed += inTime ? 0 : price;
    }
  }

  /** Returns the number of requests that were sent and have not ended. */
  synchronized long pending() {
    return sent - completed;
  }

  synchronized long wrongAnswers() {
    return wrongAnswers;
  }

  /**
   * Returns one line on the state of a running load.
   *
   * @param elapsedSeconds time since the start of the load
   * @return the line
   */
  synchronized String progress(long elapsedSeconds) {
    return String.format(
        Locale.ROOT,
        "t=%ds sent=%d done=%d inTime=%d pending=%d p99=%.0fms wrong=%d",
        elapsedSeconds,
        sent,
        completed,
        answeredInTime,
        sent - completed,
        answeredMicros.getValueAtPercentile(99) / 1_000.0,
        wrongAnswers);
  }

  private double totalPrice() {
    return totalsByService.values().stream().mapToDouble(s -> s.price).sum();
  }

  /** Prints the statistics as tables. */
  synchronized void print(Output out) {
    out.line(
        String.format(
            Locale.ROOT,
            "requests %d, attainment %.2f%%, wrong answers %d",
            measuredRequests,
            percent(answeredInTime, measuredRequests),
            wrongAnswers));
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("OUTCOME", "COUNT", "SHARE"));
    countByOutcome.forEach(
        (label, count) ->
            rows.add(List.of(label, Long.toString(count), share(count, measuredRequests))));
    out.table(rows);
    out.table(latencyRows());
    out.table(costRows());
    out.line(
        String.format(
            Locale.ROOT,
            "cost of requests not answered in time: %.2f%%",
            totalPrice() == 0 ? 0 : 100 * priceOfMissed / totalPrice()));
    out.table(workspaceRows());
  }

  private List<List<String>> latencyRows() {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("LATENCY MS", "P50", "P90", "P95", "P99", "P99.9", "MAX"));
    rows.add(latencyRow("answered", answeredMicros));
    rows.add(latencyRow("not answered", unansweredMicros));
    return rows;
  }

  private static List<String> latencyRow(String label, Histogram histogram) {
    List<String> row = new ArrayList<>();
    row.add(label);
    for (double each : PERCENTILES) {
      row.add(millis(histogram.getValueAtPercentile(each)));
    }
    row.add(millis(histogram.getMaxValue()));
    return row;
  }

  private static String millis(long micros) {
    return String.format(Locale.ROOT, "%.1f", micros / 1_000.0);
  }

  private List<List<String>> costRows() {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("COST BY STAGE", "CALLS", "SECONDS", "PRICE"));
    totalsByService.forEach(
        (service, totals) ->
            rows.add(
                List.of(
                    service,
                    Long.toString(totals.requests),
                    String.format(Locale.ROOT, "%.1f", totals.millis / 1_000),
                    String.format(Locale.ROOT, "%.3f", totals.price))));
    return rows;
  }

  private List<List<String>> workspaceRows() {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("WORKSPACE", "REQUESTS", "ATTAINMENT"));
    totalsByWorkspace.forEach(
        (name, totals) ->
            rows.add(
                List.of(
                    name,
                    Long.toString(totals.requests),
                    share(totals.answeredInTime, totals.requests))));
    return rows;
  }

  private static String share(long part, long whole) {
    return String.format(Locale.ROOT, "%.2f%%", percent(part, whole));
  }

  private static double percent(long part, long whole) {
    return whole == 0 ? 0 : 100.0 * part / whole;
  }

  /** Returns the statistics as JSON. */
  synchronized ObjectNode toJson() {
    ObjectNode node = Mappers.json().createObjectNode();
    node.put("requests", measuredRequests).put("inTime", answeredInTime).put("wrong", wrongAnswers);
    node.put("attainmentPercent", percent(answeredInTime, measuredRequests));
    node.put("wastedPrice", priceOfMissed).put("totalPrice", totalPrice());
    node.set("outcomes", Mappers.json().valueToTree(countByOutcome));
    ObjectNode latency = node.putObject("answeredMillis");
    for (double each : PERCENTILES) {
      latency.put("p" + each, answeredMicros.getValueAtPercentile(each) / 1_000.0);
    }
    ObjectNode costs = node.putObject("costByStage");
    totalsByService.forEach((service, totals) -> costs.put(service, totals.price));
    ObjectNode shares = node.putObject("attainmentByWorkspace");
    totalsByWorkspace.forEach(
        (name, totals) -> shares.put(name, percent(totals.answeredInTime, totals.requests)));
    return node;
  }

  /** Number of calls, time and price of one service. */
  private static final class ServiceTotals {
    private long requests;
    private double millis;
    private double price;

    private void add(double callMillis, double callPrice) {
      requests++;
      millis += callMillis;
      price += callPrice;
    }
  }

  /** Number of requests of one workspace, and how many of them were answered in time. */
  private static final class WorkspaceTotals {
    private long requests;
    private long answeredInTime;

    private void add(boolean inTimeAnswer) {
      requests++;
      answeredInTime += inTimeAnswer ? 1 : 0;
    }
  }
}
