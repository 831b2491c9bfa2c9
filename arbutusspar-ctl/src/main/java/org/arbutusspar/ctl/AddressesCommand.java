package org.arbutusspar.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.arbutusspar.io.http.HttpCaller;

/** Asks which addresses to use, as a caller does. */
@Command(name = "addresses", description = "Ask which instances a caller should use")
public final class AddressesCommand extends CtlCommand {

  @Option(name = "--dc", title = "NAME", description = "Data centre of the caller")
  private String dataCentre;

  /** Creates the command; used by the command line parser. */
  public AddressesCommand() {}

  @Override
  ExitCode execute(Output out) {
    try (HttpCaller http = newHttp()) {
      String path = "/v1/addresses" + (dataCentre == null ? "" : "?dc=" + dataCentre);
      JsonNode answer = InstanceClient.create(http, instances()).getFromAny(path, Map.of());
      if (out.isJson()) {
        out.json(answer);
        return ExitCode.OK;
      }
      List<List<String>> rows = new ArrayList<>();
      rows.add(List.of("ENDPOINT", "INSTANCE", "DATA CENTRE", "PREFIX"));
      for (JsonNode each : answer.path("addresses")) {
        rows.add(
            List.of(
                each.path("endpoint").asText(),
                each.path("instance").asText(),
                each.path("dataCentre").asText(),
                each.path("prefix").asText()));
      }
      out.table(rows);
      out.line("may be kept for " + answer.path("keepMs").asLong() + " ms");
      return ExitCode.OK;
    }
  }
}
