package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.arbutusspar.io.link.PeerMessage;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.junit.jupiter.api.Test;

/** Tests instances whose plain replicas state how long work takes on their machines. */
class StatedWorkTimeTest extends GatewayRig {

  private ReplicaStandin addPlainReplica() throws IOException {
    ReplicaStandin replica =
        closeAfterTest(ReplicaStandin.start("i-3", freeEndpoint(FIRST_ADDRESS)));
    store.putReplica("i-3", replica.listEntry(SampleTraffic.PLAIN, false));
    return replica;
  }

  private void serveSome(Instance instance, String prefix) {
    for (int i = 0; i < 5; i++) {
      assertEquals(200, call(instance, "/b/x", prefix + i, "key").status());
    }
  }

  /** A placer knows the figures from all responses; without figures each instance chooses. */
  @Test
  void placerChoosesForPlainServicesOnlyOnceWorkTimesAreStated() throws IOException {
    final ReplicaStandin replica = addPlainReplica();
    FakePeer placer = closeAfterTest(FakePeer.start("r-1", freeEndpoint("127.0.0.11")));
    placer.announceRoles(Set.of(EnginePlacement.role(SampleTraffic.PLAIN)));
    Instance instance = startInstance("e-1", FIRST_ADDRESS, List.of(placer.links()));
    await(() -> call(instance, "/b/x", "w" + System.nanoTime(), "key").status() == 200);
    serveSome(instance, "unstated");
    assertFalse(isAskedToPlace(placer));
    replica.stateWorkPercent(120);
    await(
        () ->
            call(instance, "/b/x", "v" + System.nanoTime(), "key").status() == 200
                && isAskedToPlace(placer));
  }

  private static boolean isAskedToPlace(FakePeer placer) {
    return placer.placements().stream()
        .anyMatch(
            m ->
                m instanceof PeerMessage.PlaceRequest p && p.service().equals(SampleTraffic.PLAIN));
  }

  @Test
  void speedOfReplicaFollowsWhatItStates() throws IOException {
    addPlainReplica().stateWorkPercent(400);
    Instance instance = startInstance("e-1", FIRST_ADDRESS, List.of());
    await(() -> call(instance, "/b/x", "w" + System.nanoTime(), "key").status() == 200);
    serveSome(instance, "r");
    await(() -> metricsOf(instance).contains("arbutusspar_replica_speed_percent{replica=\"i-3\"}"));
  }

  private static String metricsOf(Instance instance) {
    return new String(instance.gateway().metrics(), StandardCharsets.UTF_8);
  }
}
