package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.peer.StorePosition;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.junit.jupiter.api.Test;

/** Tests that a version is in force in time at an instance that relies on peers for it. */
class LateConfigurationTest extends GatewayRig {

  /** Number of instances that read the store for the whole deployment. */
  private static final int READERS = 3;

  /** Era that the stand-in of the store states at first. */
  private static final long STORE_ERA = 1;

  private int sent;

  private boolean accepts(Instance instance, String key) {
    return call(instance, "/p/x", "c" + sent++, key).status() == 200;
  }

  /**
   * An instance kept an old version for as long as the instances that had announced a later one
   * sent heartbeats, but did not send the configuration.
   */
  @Test
  void versionIsInForceInTimeIfPeersAnnounceItButDoNotSendIt() throws IOException {
    List<FakePeer> readers = new ArrayList<>();
    for (int i = 1; i <= READERS; i++) {
      readers.add(closeAfterTest(FakePeer.start("r-" + i, freeEndpoint("127.0.0.1" + i))));
    }
    List<Endpoint> seeds = readers.stream().map(FakePeer::links).toList();
    Instance instance = startInstance("e-1", FIRST_ADDRESS, seeds);
    await(() -> accepts(instance, "key"));
    // The instance stops reading the store once the others announce that they reach it.
    sleep(2_000);
    store.putConfiguration(SampleTraffic.configuration(2, "new"));
    readers.forEach(reader -> reader.announceConfiguration(StorePosition.of(STORE_ERA, 2)));
    await(() -> accepts(instance, "new"), MAX_APPLY_MILLIS);
    assertTrue(readers.stream().anyMatch(reader -> reader.requests() > 0));
  }
}
