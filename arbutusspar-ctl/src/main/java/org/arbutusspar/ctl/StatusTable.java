package org.arbutusspar.ctl;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.arbutusspar.core.balancing.Endpoint;

/** Rows of what instances on the users' platform believe, read from their metrics. */
final class StatusTable {

  static final List<String> HEADING =
      List.of(
          "METRICS", "READY", "VERSION", "LIVE", "USABLE", "RESTING", "LEAVING", "ACTIVE",
          "WAITING");

  private static final String SILENT = "silent";
  private static final String UNKNOWN = "-";

  private StatusTable() {}

  /**
   * Returns the row of an instance.
   *
   * @param endpoint where its metrics are, not null
   * @param metrics its metrics in the Prometheus text format, not null
   * @return the row
   */
  static List<String> row(Endpoint endpoint, String metrics) {
    return List.of(
        endpoint.toString(),
        value(metrics, "arbutusspar_ready"),
        value(metrics, "arbutusspar_configuration_version"),
        value(metrics, "arbutusspar_live_instances"),
        value(metrics, "arbutusspar_replicas{state=\"usable\"}"),
        value(metrics, "arbutusspar_replicas{state=\"resting\"}"),
        value(metrics, "arbutusspar_replicas{state=\"leaving\"}"),
        value(metrics, "arbutusspar_active_requests"),
        value(metrics, "arbutusspar_waiting_pieces"));
  }

  /** Returns the row of an instance that does not answer. */
  static List<String> silent(Endpoint endpoint) {
    return List.of(
        endpoint.toString(), SILENT, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN);
  }

  private static String value(String metrics, String name) {
    Matcher line =
        Pattern.compile("^" + Pattern.quote(name) + " (-?[0-9]+)", Pattern.MULTILINE)
            .matcher(metrics);
    return line.find() ? line.group(1) : UNKNOWN;
  }
}
