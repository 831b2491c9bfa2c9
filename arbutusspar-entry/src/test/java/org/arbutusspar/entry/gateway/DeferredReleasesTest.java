package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.placement.ReplicaRateLimits;
import org.arbutusspar.core.placement.ReplicaRegistry;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.entry.gateway.DeferredReleases.Decision;
import org.junit.jupiter.api.Test;

class DeferredReleasesTest {

  private static final Endpoint ENDPOINT = new Endpoint("10.0.0.1", 80);
  private static final UpstreamReplica REPLICA =
      new UpstreamReplica("r1", "s", ENDPOINT, DataCentre.of("a"), 1, false, 1);

  private final ReplicaRegistry replicas = ReplicaRegistry.create();
  private double share = 1;
  private final ReplicaRateLimits limits = ReplicaRateLimits.create((service, now) -> share);
  private final DeferredReleases releases = DeferredReleases.create(replicas, limits);

  DeferredReleasesTest() {
    replicas.replace(List.of(REPLICA));
  }

  private static long millis(long millis) {
    return Nanos.ofMillis(millis);
  }

  @Test
  void releaseToUnlimitedReplicaIsSent() {
    assertEquals(Decision.SEND, releases.decide(ENDPOINT, 0));
    assertEquals(Decision.SEND, releases.decide(new Endpoint("10.0.0.2", 80), 0));
    assertTrue(releases.isAvailable(REPLICA, 0));
  }

  /** Calls for pieces took each permit, and the results that they left filled the memory. */
  @Test
  void callsDoNotTakeThePermitThatReleaseWaitsFor() {
    limits.onStated(REPLICA, 1, 0);
    assertEquals(Decision.DEFER, releases.decide(ENDPOINT, millis(500)));
    assertFalse(releases.isAvailable(REPLICA, millis(1_500)));
    assertEquals(Decision.SEND, releases.decide(ENDPOINT, millis(1_500)));
    assertFalse(releases.isAvailable(REPLICA, millis(1_600)));
    assertTrue(releases.isAvailable(REPLICA, millis(2_600)));
  }

  /** A release that never comes back must not hold up the calls for good. */
  @Test
  void callsGoOnIfReleaseIsNotTriedAgain() {
    limits.onStated(REPLICA, 1, 0);
    assertEquals(Decision.DEFER, releases.decide(ENDPOINT, millis(500)));
    assertEquals(Decision.SEND, releases.decide(new Endpoint("10.0.0.2", 80), millis(11_000)));
    assertTrue(releases.isAvailable(REPLICA, millis(11_000)));
  }

  @Test
  void releaseIsDroppedWhereAnotherInstanceGivesThePermits() {
    share = 0;
    limits.onStated(REPLICA, 1, 0);
    assertEquals(Decision.DROP, releases.decide(ENDPOINT, millis(5_000)));
  }

  @Test
  void releaseWaitsForTheEndOfPause() {
    replicas.onBackoff(REPLICA, 1_000, 0);
    assertEquals(Decision.DEFER, releases.decide(ENDPOINT, millis(999)));
    assertEquals(Decision.SEND, releases.decide(ENDPOINT, millis(1_000)));
  }
}
