package org.arbutusspar.io.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.arbutusspar.core.balancing.LoadReport;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;

/** Guards the parsing of load reports, which come from replicas and may be malformed. */
class LoadReportsTest {

  private static Optional<LoadReport> fromHeader(String value) {
    return LoadReports.fromHeaders(HttpFields.build().put(LoadReports.HEADER, value));
  }

  @Test
  void decodesTheHeaderThatItEncoded() {
    LoadReport report = new LoadReport(3, 2, true);
    assertEquals(Optional.of(report), fromHeader(LoadReports.toHeader(report)));
  }

  @Test
  void malformedReportsAreIgnored() {
    List<String> malformed =
        List.of(
            "", "JSON {}", "TEXT ", "TEXT named_metrics.running=x", "TEXT " + "a".repeat(5_000));
    for (String each : malformed) {
      assertTrue(fromHeader(each).isEmpty(), each);
    }
    for (String each : List.of("", "[]", "{}", "{\"running\":\"x\"}", "{")) {
      assertTrue(LoadReports.fromJson(each).isEmpty(), each);
    }
    assertEquals(Optional.of(new LoadReport(1, 0, false)), LoadReports.fromJson("{\"running\":1}"));
  }

  @Test
  void droppedPrefixesAreReadUpToTheMaximumNumber() {
    assertEquals(
        List.of(255L, -1L),
        LoadReports.droppedPrefixes(
            "{\"running\":0,\"dropped\":[\"ff\",\"no\",7.5,\"ffffffffffffffff\"]}"));
    assertEquals(List.of(), LoadReports.droppedPrefixes("{\"running\":0}"));
    assertEquals(List.of(), LoadReports.droppedPrefixes("{"));
    String many = "\"1\",".repeat(500) + "\"1\"";
    assertEquals(
        LoadReports.MAX_DROPPED_PREFIXES,
        LoadReports.droppedPrefixes("{\"dropped\":[" + many + "]}").size());
  }
}
