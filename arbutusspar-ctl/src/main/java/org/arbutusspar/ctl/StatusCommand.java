package org.arbutusspar.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.http.HttpCaller;

/** Prints a table of the instances with their state, configuration revision and load. */
@Command(name = "status", description = "Show the instances, their state and their revision")
public final class StatusCommand extends CtlCommand {

  @Option(
      name = "--metrics",
      title = "IP:PORT,...",
      description = "Metrics addresses of instances on the users' platform; shows these instead")
  private String metricsEndpoints;

  /** Creates the command; used by the command line parser. */
  public StatusCommand() {}

  @Override
  ExitCode execute(Output out) {
    if (metricsEndpoints != null) {
      return showMetrics(out);
    }
    try (HttpCaller http = newHttp()) {
      Map<Endpoint, JsonNode> statuses =
          InstanceClient.create(http, instances()).statusOfAll(operatorKey());
      if (out.isJson()) {
        out.json(statuses.values());
        return ExitCode.OK;
      }
      List<List<String>> rows = new ArrayList<>();
      rows.add(
          List.of("ENDPOINT", "INSTANCE", "DATA CENTRE", "STATE", "REVISION", "ACTIVE", "QUEUED"));
      statuses.forEach((endpoint, status) -> rows.add(statusRow(endpoint, status)));
      out.table(rows);
      return ExitCode.OK;
    }
  }

  private ExitCode showMetrics(Output out) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(StatusTable.HEADING);
    boolean allResponded = true;
    try (HttpCaller http = newHttp()) {
      for (Endpoint endpoint : endpoints(metricsEndpoints, "--metrics")) {
        Optional<String> metricsText = InstanceClient.create(http, List.of()).metrics(endpoint);
        allResponded &= metricsText.isPresent();
        rows.add(
            metricsText
                .map(each -> StatusTable.row(endpoint, each))
                .orElseGet(() -> StatusTable.unreachableRow(endpoint)));
      }
    }
    if (out.isJson()) {
      out.json(rows);
    } else {
      out.table(rows);
    }
    return allResponded ? ExitCode.OK : ExitCode.UNREACHABLE;
  }

  private static List<String> statusRow(Endpoint endpoint, JsonNode status) {
    if (status == null) {
      return List.of(endpoint.toString(), "-", "-", "silent", "-", "-", "-");
    }
    return List.of(
        endpoint.toString(),
        status.path("instance").asText(),
        status.path("dataCentre").asText(),
        stateText(status),
        status.path("revision").asText(),
        status.path("load").path("active").asText(),
        status.path("load").path("queued").asText());
  }

  private static String stateText(JsonNode status) {
    String notReady = status.path("notReady").asText();
    if (!notReady.isEmpty()) {
      return "not ready: " + notReady;
    }
    return status.path("load").path("draining").asBoolean() ? "leaving" : "live";
  }
}
