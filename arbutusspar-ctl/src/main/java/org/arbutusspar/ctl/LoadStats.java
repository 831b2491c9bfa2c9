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

/** Figures of a load. Safe for use by several threads. */
final class LoadStats {

  private static final int DIGITS = 3;
  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(5);
  private static final double[] PERCENTILES = {50, 90, 95, 99, 99.9};

  private final Histogram answeredMicros = new Histogram(MAX_MICROS, DIGITS);
  private final Histogram refusedMicros = new Histogram(MAX_MICROS, DIGITS);
  private final Map<String, Long> outcomes = new TreeMap<>();
  private final Map<String, StageSum> stages = new TreeMap<>();
  private final Map<String, WorkspaceSum> workspaces = new TreeMap<>();
  private long sent;
  private long ended;
  private long done;
  private long inTime;
  private long wrong;
  private double wastedPrice;

  private LoadStats() {}

  static LoadStats create() {
    return new LoadStats();
  }

  synchronized void onSent() {
    sent++;
  }

  /** Books a request's end; one that is not counted matters only if its answer is wrong. */
  synchronized void onDone(
      CallSpec spec, CallResult result, long nanos, boolean right, boolean counted) {
    ended++;
    wrong += right ? 0 : 1;
    if (!counted) {
      return;
    }
    done++;
    long micros = Math.min(MAX_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos));
    boolean good =
        result.isAnswered() && nanos <= TimeUnit.MILLISECONDS.toNanos(spec.deadlineMillis());
    if (result.isAnswered()) {
      answeredMicros.recordValue(micros);
    } else {
      refusedMicros.recordValue(micros);
    }
    inTime += good ? 1 : 0;
    String label =
        result.isAnswered()
            ? good ? "answered in time" : "answered late"
            : result.outcome() + " " + result.reason();
    outcomes.merge(label, 1L, Long::sum);
    workspaces.computeIfAbsent(spec.workspace(), w -> new WorkspaceSum()).add(good);
    result.body().ifPresent(body -> addCosts(body, good));
  }

  private void addCosts(JsonNode body, boolean good) {
    for (JsonNode cost : body.path("costs")) {
      double price = cost.path("price").asDouble();
      stages
          .computeIfAbsent(cost.path("service").asText(), s -> new StageSum())
          .add(cost.path("millis").asDouble(), price);
      wastedPrice += good ? 0 : price;
    }
  }

  synchronized long pending() {
    return sent - ended;
  }

  synchronized long wrong() {
    return wrong;
  }

  /** Returns one line on the state of a running load. */
  synchronized String progress(long seconds) {
    return String.format(
        Locale.ROOT,
        "t=%ds sent=%d done=%d inTime=%d pending=%d p99=%.0fms wrong=%d",
        seconds,
        sent,
        ended,
        inTime,
        sent - ended,
        answeredMicros.getValueAtPercentile(99) / 1_000.0,
        wrong);
  }

  private double totalPrice() {
    return stages.values().stream().mapToDouble(s -> s.price).sum();
  }

  /** Prints the figures for a person. */
  synchronized void print(Output out) {
    out.line(
        String.format(
            Locale.ROOT,
            "requests %d, attainment %.2f%%, wrong answers %d",
            done,
            percent(inTime, done),
            wrong));
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("OUTCOME", "COUNT", "SHARE"));
    outcomes.forEach(
        (label, count) -> rows.add(List.of(label, Long.toString(count), share(count, done))));
    out.table(rows);
    out.table(latencyRows());
    out.table(costRows());
    out.line(
        String.format(
            Locale.ROOT,
            "cost spent on requests that missed: %.2f%%",
            totalPrice() == 0 ? 0 : 100 * wastedPrice / totalPrice()));
    out.table(workspaceRows());
  }

  private List<List<String>> latencyRows() {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("LATENCY MS", "P50", "P90", "P95", "P99", "P99.9", "MAX"));
    rows.add(latencyRow("answered", answeredMicros));
    rows.add(latencyRow("not answered", refusedMicros));
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
    stages.forEach(
        (service, sum) ->
            rows.add(
                List.of(
                    service,
                    Long.toString(sum.requests),
                    String.format(Locale.ROOT, "%.1f", sum.millis / 1_000),
                    String.format(Locale.ROOT, "%.3f", sum.price))));
    return rows;
  }

  private List<List<String>> workspaceRows() {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("WORKSPACE", "REQUESTS", "ATTAINMENT"));
    workspaces.forEach(
        (name, sum) -> rows.add(List.of(name, Long.toString(sum.all), share(sum.good, sum.all))));
    return rows;
  }

  private static String share(long part, long all) {
    return String.format(Locale.ROOT, "%.2f%%", percent(part, all));
  }

  private static double percent(long part, long all) {
    return all == 0 ? 0 : 100.0 * part / all;
  }

  /** Returns the figures as JSON. */
  synchronized ObjectNode json() {
    ObjectNode node = Mappers.json().createObjectNode();
    node.put("requests", done).put("inTime", inTime).put("wrong", wrong);
    node.put("attainmentPercent", percent(inTime, done));
    node.put("wastedPrice", wastedPrice).put("totalPrice", totalPrice());
    node.set("outcomes", Mappers.json().valueToTree(outcomes));
    ObjectNode latency = node.putObject("answeredMillis");
    for (double each : PERCENTILES) {
      latency.put("p" + each, answeredMicros.getValueAtPercentile(each) / 1_000.0);
    }
    ObjectNode costs = node.putObject("costByStage");
    stages.forEach((service, sum) -> costs.put(service, sum.price));
    ObjectNode shares = node.putObject("attainmentByWorkspace");
    workspaces.forEach((name, sum) -> shares.put(name, percent(sum.good, sum.all)));
    return node;
  }

  /** Sums of one service. */
  private static final class StageSum {
    private long requests;
    private double millis;
    private double price;

    private void add(double moreMillis, double morePrice) {
      requests++;
      millis += moreMillis;
      price += morePrice;
    }
  }

  /** Sums of one workspace. */
  private static final class WorkspaceSum {
    private long all;
    private long good;

    private void add(boolean inTimeAnswer) {
      all++;
      good += inTimeAnswer ? 1 : 0;
    }
  }
}
