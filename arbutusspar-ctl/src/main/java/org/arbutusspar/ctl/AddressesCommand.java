package org.arbutusspar.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.arbutusspar.io.http.HttpCaller;

/** Prints the addresses that the address service recommends to a caller. */
@Command(name = "addresses", description = "Show the instances that a caller should use")
public final class AddressesCommand extends CtlCommand {

  @Option(name = "--dc", title = "NAME", description = "Data centre of the caller")
  private String dataCentre;

  /** Creates the command; used by the command line parser. */
  public AddressesCommand() {}

  @Override
  ExitCode execute(Output out) {
    try (HttpCaller http = newHttp()) {
      String path = "/v1/addresses" + (dataCentre == null ? "" : "?dc=" + dataCentre);
      JsonNode response = InstanceClient.create(http, instances()).getFromAny(path, Map.of());
      if (out.isJson()) {
        out.json(response);
        return ExitCode.OK;
      }
      List<List<String>> rows = new ArrayList<>();
      rows.add(List.of("ENDPOINT", "INSTANCE", "DATA CENTRE", "PREFIX"));
      for (JsonNode address : response.path("addresses")) {
        rows.add(
            List.of(
                address.path("endpoint").asText(),
                address.path("instance").asText(),
                address.path("dataCentre").asText(),
                address.path("prefix").asText()));
      }
      out.table(rows);
      out.line("may be cached for " + response.path("keepMs").asLong() + " ms");
      return ExitCode.OK;
    }
  }
}
