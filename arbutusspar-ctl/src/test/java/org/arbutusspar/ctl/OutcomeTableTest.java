package org.arbutusspar.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Counts outcomes from lines as instances write them. */
class OutcomeTableTest {

  @TempDir private Path folder;

  private static String line(String fields) {
    return "time=2026-12-06T10:00:00.000Z level=INFO event=" + fields + "\n";
  }

  private OutcomeTable table() throws IOException {
    Path first = folder.resolve("e-1.log");
    Files.writeString(
        first,
        line("start instance=e-1 data_centre=a")
            + line("request id=q1 route=plan workspace=w service=llm target_ms=1000")
            + line("answer-begun id=q1 status=200 ms=900")
            + line("outcome id=q1 outcome=answered reason=status-200 ms=2000")
            + line("request id=q2 route=plan workspace=w service=llm target_ms=1000")
            + line("answer-begun id=q2 status=200 ms=1001")
            + line("outcome id=q2 outcome=answered reason=status-200 ms=2000")
            + line("request id=q3 route=plan workspace=w service=llm target_ms=1000")
            + line("outcome id=q3 outcome=refused reason=overload ms=1"));
    Path second = folder.resolve("e-2.log");
    Files.writeString(
        second,
        line("start instance=e-2 data_centre=b")
            + line("request id=q4 route=check workspace=w service=llm target_ms=1000")
            + line("outcome id=q5 outcome=answered reason=status-200 ms=3")
            + "no line of an instance\n");
    return OutcomeTable.read(List.of(first, second));
  }

  @Test
  void countsByRouteWithTheSum() throws IOException {
    assertEquals(
        List.of(
            List.of(
                "ROUTE",
                "REQUESTS",
                "IN_TIME",
                "LATE",
                "REFUSED",
                "FAILED",
                "BROKEN",
                "LEFT",
                "OPEN"),
            List.of("check", "1", "0", "0", "0", "0", "0", "0", "1"),
            List.of("plan", "3", "1", "1", "1", "0", "0", "0", "0"),
            List.of("total", "4", "1", "1", "1", "0", "0", "0", "1")),
        table().rows(OutcomeTable.Grouping.ROUTE));
  }

  @Test
  void countsByDataCentreOfTheInstance() throws IOException {
    assertEquals(
        List.of("a", "b"), List.copyOf(table().counts(OutcomeTable.Grouping.DATA_CENTRE).keySet()));
  }

  @Test
  void groupingsAreNamedAsOnTheCommandLine() {
    assertEquals(
        Optional.of(OutcomeTable.Grouping.DATA_CENTRE), OutcomeTable.Grouping.named("data-centre"));
    assertEquals(Optional.empty(), OutcomeTable.Grouping.named("DATA_CENTRE"));
  }
}
