package org.arbutusspar.io.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusspar.core.balancing.LoadReport;
import org.arbutusspar.io.codec.Mappers;
import org.eclipse.jetty.http.HttpFields;

/**
 * Converts load reports from and to the text form of the Open Request Cost Aggregation (ORCA)
 * header, and from JSON.
 *
 * <p>Example of the header: {@code endpoint-load-metrics: TEXT named_metrics.running=2,
 * named_metrics.waiting=0, named_metrics.leaving=0}.
 */
public final class LoadReports {

  /** Name of the header field that carries a load report. */
  public static final String HEADER = "endpoint-load-metrics";

  /** Maximum number of dropped prefixes that are read from one poll response. */
  public static final int MAX_DROPPED_PREFIXES = 64;

  private static final int HEX_RADIX = 16;
  private static final String TEXT_FORMAT_TAG = "TEXT ";
  private static final String METRIC_PREFIX = "named_metrics.";

  /** Maximum length of a header value that is parsed, in characters. */
  private static final int MAX_HEADER_CHARS = 1_000;

  private LoadReports() {}

  /**
   * Returns the header value of a report.
   *
   * @param report the report, not null
   * @return the value
   */
  public static String toHeader(LoadReport report) {
    return TEXT_FORMAT_TAG
        + METRIC_PREFIX
        + "running="
        + report.running()
        + ", "
        + METRIC_PREFIX
        + "waiting="
        + report.waiting()
        + ", "
        + METRIC_PREFIX
        + "leaving="
        + (report.leaving() ? 1 : 0);
  }

  /**
   * Returns the report in a header.
   *
   * @param headers header fields of a response, not null
   * @return the report, or empty if there is none or it is malformed
   */
  public static Optional<LoadReport> fromHeaders(HttpFields headers) {
    String value = headers.get(HEADER);
    if (value == null || value.length() > MAX_HEADER_CHARS || !value.startsWith(TEXT_FORMAT_TAG)) {
      return Optional.empty();
    }
    int running = -1;
    int waiting = 0;
    boolean leaving = false;
    for (String part : value.substring(TEXT_FORMAT_TAG.length()).split(",")) {
      String[] pair = part.trim().split("=", 2);
      if (pair.length == 2 && pair[1].matches("[0-9]{1,6}")) {
        int number = Integer.parseInt(pair[1]);
        switch (pair[0]) {
          case METRIC_PREFIX + "running" -> running = number;
          case METRIC_PREFIX + "waiting" -> waiting = number;
          case METRIC_PREFIX + "leaving" -> leaving = number > 0;
          default -> {
            // Other metrics are ignored.
          }
        }
      }
    }
    return running < 0 ? Optional.empty() : Optional.of(new LoadReport(running, waiting, leaving));
  }

  /**
   * Returns the prompt prefixes that a model engine reports as recently dropped from its cache.
   * Engines may report a prefix late, several times or not at all.
   *
   * @param body JSON body of a poll response, not null
   * @return hashes of the prefixes; empty if the body is malformed; at most {@link
   *     #MAX_DROPPED_PREFIXES}
   */
  public static List<Long> droppedPrefixes(String body) {
    List<Long> dropped = new ArrayList<>();
    try {
      for (JsonNode each : Mappers.json().readTree(body).path("dropped")) {
        if (dropped.size() < MAX_DROPPED_PREFIXES && each.asText().matches("[0-9a-f]{1,16}")) {
          dropped.add(Long.parseUnsignedLong(each.asText(), HEX_RADIX));
        }
      }
    } catch (JsonProcessingException e) {
      return List.of();
    }
    return dropped;
  }

  /**
   * Returns the report in the JSON body of a poll response.
   *
   * @param body the body, not null
   * @return the report, or empty if it is malformed
   */
  public static Optional<LoadReport> fromJson(String body) {
    try {
      JsonNode node = Mappers.json().readTree(body);
      if (node == null || !node.path("running").canConvertToInt()) {
        return Optional.empty();
      }
      return Optional.of(
          new LoadReport(
              Math.max(0, node.path("running").asInt()),
              Math.max(0, node.path("waiting").asInt(0)),
              node.path("leaving").asBoolean(false)));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }
}
