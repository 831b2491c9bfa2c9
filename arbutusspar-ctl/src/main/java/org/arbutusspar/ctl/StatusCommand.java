package org.arbutusspar.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.arbutusspar.core.route.Endpoint;
import org.arbutusspar.io.http.HttpCaller;

/** Shows who is live, leaving, and at which revision. */
@Command(name = "status", description = "Show the instances, their state and their revision")
public final class StatusCommand extends CtlCommand {

  /** Creates the command; used by the command line parser. */
  public StatusCommand() {}

  @Override
  ExitCode execute(Output out) {
    try (HttpCaller http = newHttp()) {
      Map<Endpoint, JsonNode> all =
          InstanceClient.create(http, instances()).statusOfAll(operatorKey());
      if (out.isJson()) {
        out.json(all.values());
        return ExitCode.OK;
      }
      List<List<String>> rows = new ArrayList<>();
      rows.add(
          List.of("ENDPOINT", "INSTANCE", "DATA CENTRE", "STATE", "REVISION", "ACTIVE", "QUEUED"));
      all.forEach((endpoint, status) -> rows.add(row(endpoint, status)));
      out.table(rows);
      return ExitCode.OK;
    }
  }

  private static List<String> row(Endpoint endpoint, JsonNode status) {
    if (status == null) {
      return List.of(endpoint.toString(), "-", "-", "silent", "-", "-", "-");
    }
    return List.of(
        endpoint.toString(),
        status.path("instance").asText(),
        status.path("dataCentre").asText(),
        state(status),
        status.path("revision").asText(),
        status.path("load").path("active").asText(),
        status.path("load").path("queued").asText());
  }

  private static String state(JsonNode status) {
    String notReady = status.path("notReady").asText();
    if (!notReady.isEmpty()) {
      return "not ready: " + notReady;
    }
    return status.path("load").path("draining").asBoolean() ? "leaving" : "live";
  }
}
