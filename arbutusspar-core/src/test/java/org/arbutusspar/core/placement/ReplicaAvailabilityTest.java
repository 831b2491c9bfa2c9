package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.junit.jupiter.api.Test;

class ReplicaAvailabilityTest {

  private static final long SECOND = Nanos.ofMillis(1_000);

  private static UpstreamReplica replica(String id, long startedMillis) {
    return new UpstreamReplica(
        id, "s", new Endpoint("10.0.0.1", 80), DataCentre.of("a"), 8, false, startedMillis);
  }

  @Test
  void shorterBackoffDoesNotEndLongerOne() {
    ReplicaAvailability availability = ReplicaAvailability.create();
    availability.onBackoff(replica("r", 1), 5_000, 0);
    availability.onBackoff(replica("r", 1), 100, SECOND);
    assertTrue(availability.isBackingOff(replica("r", 1), 5 * SECOND - 1));
    assertFalse(availability.isBackingOff(replica("r", 1), 5 * SECOND));
    assertFalse(availability.isBackingOff(replica("r", 2), SECOND), "a later incarnation");
  }

  @Test
  void firstReplicaToBeAvailableDecides() {
    ReplicaAvailability availability = ReplicaAvailability.create();
    List<UpstreamReplica> replicas = List.of(replica("a", 1), replica("b", 1));
    availability.onBackoff(replicas.get(0), 3_000, 0);
    assertEquals(OptionalLong.of(0), availability.nanosUntilAvailable(replicas, 0));
    availability.onBackoff(replicas.get(1), 2_000, 0);
    assertEquals(OptionalLong.of(SECOND), availability.nanosUntilAvailable(replicas, SECOND));
    assertEquals(OptionalLong.empty(), availability.nanosUntilAvailable(List.of(), 0));
  }

  /** The list said "ready" after the replica had announced its shutdown. */
  @Test
  void listDoesNotRevokeAnnouncedShutdown() {
    ReplicaRegistry registry = ReplicaRegistry.create();
    registry.replace(List.of(replica("r", 1), replica("other", 1)));
    assertTrue(registry.onLeaving(replica("r", 1)));
    assertFalse(registry.onLeaving(replica("r", 1)));
    registry.replace(List.of(replica("r", 1), replica("other", 1)));
    assertEquals(List.of(replica("other", 1)), registry.notLeaving("s"));
    assertEquals(Set.of("r"), registry.unavailable("s", 0));
    registry.replace(List.of(replica("r", 2)));
    assertEquals(List.of(replica("r", 2)), registry.notLeaving("s"));
    registry.replace(List.of(replica("r", 2).asLeaving()));
    registry.replace(List.of(replica("r", 2)));
    assertEquals(List.of(), registry.notLeaving("s"));
  }

  /** A replica was never used again, since its predecessor had left under the same identifier. */
  @Test
  void announcementOfReplicaWithoutStartEndsWithItsEntry() {
    ReplicaRegistry registry = ReplicaRegistry.create();
    registry.replace(List.of(replica("r", 0)));
    registry.onLeaving(replica("r", 0));
    assertEquals(List.of(), registry.notLeaving("s"));
    registry.replace(List.of());
    registry.replace(List.of(replica("r", 0)));
    assertEquals(List.of(replica("r", 0)), registry.notLeaving("s"));
    registry.replace(List.of(replica("r", 0).asLeaving()));
    registry.replace(List.of(replica("r", 0)));
    assertEquals(List.of(replica("r", 0)), registry.notLeaving("s"));
  }

  @Test
  void replicaThatBacksOffIsNotChosenEvenIfItIsTheOnlyOne() {
    ReplicaRegistry registry = ReplicaRegistry.create();
    registry.replace(List.of(replica("r", 1)));
    registry.onBackoff(replica("r", 1), 1_000, 0);
    PlacementRequest request = new PlacementRequest("s", 0, Set.of(), true, 7);
    Placement placement = LeastLoadPlacement.create();
    assertEquals(Optional.empty(), registry.choose(request, placement, SECOND - 1));
    assertTrue(registry.choose(request, placement, SECOND).isPresent());
  }
}
