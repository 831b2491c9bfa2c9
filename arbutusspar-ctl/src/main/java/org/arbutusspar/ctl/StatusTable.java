package org.arbutusspar.ctl;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.arbutusspar.core.balancing.Endpoint;

/** Rows of a table on the state of instances on the users' platform, read from their metrics. */
final class StatusTable {

  static final List<String> HEADING =
      List.of(
          "METRICS", "READY", "VERSION", "LIVE", "USABLE", "RESTING", "LEAVING", "ACTIVE",
          "WAITING");

  private static final String UNREACHABLE_STATE = "silent";
  private static final String NO_VALUE = "-";

  private StatusTable() {}

  /**
   * Returns the row of an instance.
   *
   * @param endpoint its metrics address, not null
   * @param metrics its metrics in the Prometheus text format, not null
   * @return the row; a dash where a metric is missing
   */
  static List<String> row(Endpoint endpoint, String metrics) {
    return List.of(
        endpoint.toString(),
        metricValue(metrics, "arbutusspar_ready"),
        metricValue(metrics, "arbutusspar_configuration_version"),
        metricValue(metrics, "arbutusspar_live_instances"),
        metricValue(metrics, "arbutusspar_replicas{state=\"usable\"}"),
        metricValue(metrics, "arbutusspar_replicas{state=\"resting\"}"),
        metricValue(metrics, "arbutusspar_replicas{state=\"leaving\"}"),
        metricValue(metrics, "arbutusspar_active_requests"),
        metricValue(metrics, "arbutusspar_waiting_pieces"));
  }

  /**
   * Returns the row of an instance that does not respond.
   *
   * @param endpoint its metrics address, not null
   * @return the row
   */
  static List<String> unreachableRow(Endpoint endpoint) {
    return List.of(
        endpoint.toString(),
        UNREACHABLE_STATE,
        NO_VALUE,
        NO_VALUE,
        NO_VALUE,
        NO_VALUE,
        NO_VALUE,
        NO_VALUE,
        NO_VALUE);
  }

  /** Returns the integer part of a metric; labels are part of its name. */
  private static String metricValue(String metrics, String metric) {
    Matcher line =
        Pattern.compile("^" + Pattern.quote(metric) + " (-?[0-9]+)", Pattern.MULTILINE)
            .matcher(metrics);
    return line.find() ? line.group(1) : NO_VALUE;
  }
}
