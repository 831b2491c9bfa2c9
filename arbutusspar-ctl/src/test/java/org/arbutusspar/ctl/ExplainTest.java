package org.arbutusspar.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/**
 * Explains requests from the log lines in {@code resources/explain}, which have the form that
 * instances write. Each request there ended in a different way.
 */
class ExplainTest {

  private static Path log(String name) {
    try {
      return Path.of(
          Objects.requireNonNull(ExplainTest.class.getResource("/explain/" + name)).toURI());
    } catch (URISyntaxException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String explain(String id) throws IOException {
    RequestTrace trace = RequestTrace.read(List.of(log("others.log"), log("e-1.log")), id);
    StringBuilder text = new StringBuilder();
    trace.timeline().forEach(line -> text.append(line).append('\n'));
    return text.append(RequestCause.describe(trace)).append('\n').toString();
  }

  @Test
  void requestRejectedUnderOverload() throws IOException {
    Approvals.verify(explain("q-flood"));
  }

  @Test
  void requestRejectedBecauseOfOneSlowStage() throws IOException {
    Approvals.verify(explain("q-late"));
  }

  @Test
  void requestWhoseResponseWasLost() throws IOException {
    Approvals.verify(explain("q-lost"));
  }

  @Test
  void requestWithoutOutcome() throws IOException {
    assertTrue(
        explain("q-cut").contains("instance e-1 terminated or lost power after event request"));
  }

  @Test
  void requestRejectedByLimitsOfAllReplicas() throws IOException {
    assertTrue(explain("q-limit").contains("limit their request rate, to 3.5 a second in total"));
  }

  @Test
  void requestRejectedByTheLimitOfItsService() throws IOException {
    assertTrue(
        explain("q-plain")
            .contains(
                "an expected wait of 140 ms at service filings, where 125 ms were permitted"));
  }

  @Test
  void requestRejectedBeforeAdmission() throws IOException {
    assertTrue(explain("q-key").contains("Rejected with 401"));
  }

  @Test
  void unknownRequestAndUnreadableFileHaveTheirExitCodes() {
    assertEquals(1, CtlMain.run("explain", "--id", "none", log("e-1.log").toString()));
    assertEquals(2, CtlMain.run("explain", "--id", "q-late", "/does/not/exist.log"));
  }
}
