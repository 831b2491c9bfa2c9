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

/** Shows who is live, leaving, and at which revision. */
@Command(name = "status", description = "Show the instances, their state and their revision")
public final class StatusCommand extends CtlCommand {

  @Option(
      name = "--metrics",
      title = "IP:PORT,...",
      description = "Instances on the users' platform, by their metrics addresses")
  private String metrics;

  /** Creates the command; used by the command line parser. */
  public StatusCommand() {}

  @Override
  ExitCode execute(Output out) {
    if (metrics != null) {
      return showStatus(out);
    }
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

  private ExitCode showStatus(Output out) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(StatusTable.HEADING);
    boolean allAnswered = true;
    try (HttpCaller http = newHttp()) {
      for (Endpoint endpoint : endpoints(metrics, "--metrics")) {
        Optional<String> text = InstanceClient.create(http, List.of()).metrics(endpoint);
        allAnswered &= text.isPresent();
        rows.add(
            text.map(each -> StatusTable.row(endpoint, each))
                .orElseGet(() -> StatusTable.silent(endpoint)));
      }
    }
    if (out.isJson()) {
      out.json(rows);
    } else {
      out.table(rows);
    }
    return allAnswered ? ExitCode.OK : ExitCode.UNREACHABLE;
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
