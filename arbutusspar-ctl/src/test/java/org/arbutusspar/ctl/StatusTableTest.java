package org.arbutusspar.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.arbutusspar.core.balancing.Endpoint;
import org.junit.jupiter.api.Test;

/** Checks the status table that is built from the metrics of instances. */
class StatusTableTest {

  private static final Endpoint ENDPOINT = new Endpoint("10.1.0.5", 9464);

  @Test
  void rowIsReadFromMetrics() {
    String metrics =
        """
        # HELP arbutusspar_ready 1 if the instance takes requests of clients
        arbutusspar_ready 1.0
        arbutusspar_configuration_version 22.0
        arbutusspar_live_instances 9.0
        arbutusspar_replicas{state="usable"} 25.0
        arbutusspar_replicas{state="leaving"} 2.0
        arbutusspar_active_requests 17.0
        arbutusspar_waiting_pieces 120.0
        """;
    assertEquals(
        List.of("10.1.0.5:9464", "1", "22", "9", "25", "-", "2", "17", "120"),
        StatusTable.row(ENDPOINT, metrics));
  }

  @Test
  void rowOfUnreachableInstanceHasEveryColumn() {
    assertEquals(StatusTable.HEADING.size(), StatusTable.unreachableRow(ENDPOINT).size());
  }

  @Test
  void unreachableInstanceAndMalformedAddressHaveTheirExitCodes() {
    assertEquals(ExitCode.UNREACHABLE.code(), CtlMain.run("status", "--metrics", "127.0.0.1:1"));
    assertEquals(ExitCode.USAGE.code(), CtlMain.run("status", "--metrics", "nowhere"));
  }
}
