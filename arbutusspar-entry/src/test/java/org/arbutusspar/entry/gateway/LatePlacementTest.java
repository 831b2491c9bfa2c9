package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.arbutusspar.io.link.PeerMessage;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.junit.jupiter.api.Test;

/** Tests an instance whose requests are placed by a peer that responds too late. */
class LatePlacementTest extends GatewayRig {

  private static final int REQUESTS = 20;

  /**
   * Requests were rejected although engines were idle: a placer that responded late counted them as
   * in flight for a minute, while their instance had placed them itself and did not report their
   * end to it, until all engines seemed to be at capacity.
   */
  @Test
  void placerThatRespondsLateDoesNotCountRequestsAsInFlight() throws IOException {
    FakePeer placer = closeAfterTest(FakePeer.start("r-1", freeEndpoint("127.0.0.11")));
    placer.announceRoles(Set.of(EnginePlacement.role(SampleTraffic.ENGINE)));
    Instance instance = startInstance("e-1", FIRST_ADDRESS, List.of(placer.links()));
    await(() -> call(instance, "/p/x", "w" + System.nanoTime(), "key").status() == 200);
    await(
        () ->
            call(instance, "/p/x", "w" + System.nanoTime(), "key").status() == 200
                && !placer.placements().isEmpty());
    for (int i = 0; i < REQUESTS; i++) {
      assertEquals(200, call(instance, "/p/x", "r" + i, "key").status());
    }
    for (int i = 0; i < REQUESTS; i++) {
      String id = "r" + i;
      await(() -> isPlaced(placer, id) && isLastKnownAsEnded(placer, id), 1_000);
    }
  }

  private static boolean isPlaced(FakePeer placer, String id) {
    return placer.placements().stream()
        .anyMatch(m -> m instanceof PeerMessage.PlaceRequest p && p.request().id().equals(id));
  }

  /** Returns whether the last message on a request states that it has ended. */
  private static boolean isLastKnownAsEnded(FakePeer placer, String id) {
    boolean ended = false;
    for (PeerMessage message : placer.placements()) {
      if (message instanceof PeerMessage.PlaceRequest p && p.request().id().equals(id)) {
        ended = false;
      } else if (message instanceof PeerMessage.PlacementUpdate update
          && update.requestId().equals(id)) {
        ended = update.state() == PeerMessage.RunState.ENDED;
      }
    }
    return ended;
  }
}
