package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.OptionalInt;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.placement.StatedLoad;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.platform.ConfigurationReader;
import org.junit.jupiter.api.Test;

/** Checks which replicas are paced: those with a warm-up, and those that state how work goes. */
class ReplicaPacesTest {

  private static final String CONFIGURATION =
      "{'version':1,'services':[{'name':'cold','engine':{'slots':8},'warmup_s':3,'warmup_per_s':9},"
          + "{'name':'engine','engine':{'slots':8}},{'name':'plain'}]}";

  private final EventLoop loop = EventLoop.start();
  private final ReplicaPaces paces = ReplicaPaces.create(loop, EventLog.create(1));

  private static UpstreamReplica replica(String service) {
    return new UpstreamReplica(
        service + "-1", service, new Endpoint("10.0.0.1", 80), DataCentre.of("a"), 8, false, 1);
  }

  /** Reports a failure of a replica of each service. */
  private void failAll() {
    for (String service : new String[] {"cold", "engine", "plain"}) {
      paces.placed().onFailure(replica(service), 0, loop.now());
      paces.chosenAlone().onFailure(replica(service), 0, loop.now());
    }
  }

  @Test
  void replicasArePacedWhereTheConfigurationOrTheirResponsesCallForIt() throws IOException {
    try (loop) {
      failAll();
      assertEquals(Map.of(), paces.countByService());
      paces.onState(
          ConfigurationReader.read(
              CONFIGURATION.replace('\'', '"').getBytes(StandardCharsets.UTF_8)));
      failAll();
      assertEquals(Map.of("cold", 1), paces.countByService());
      paces.onLoad(replica("engine"), new StatedLoad(1, 0, 8, OptionalInt.empty()));
      failAll();
      assertEquals(Map.of("cold", 1), paces.countByService());
      paces.onLoad(replica("engine"), new StatedLoad(1, 0, 8, OptionalInt.of(100)));
      paces.onLoad(replica("plain"), new StatedLoad(1, 0, 8, OptionalInt.of(100)));
      failAll();
      assertEquals(Map.of("cold", 1, "engine", 1, "plain", 1), paces.countByService());
    }
  }
}
