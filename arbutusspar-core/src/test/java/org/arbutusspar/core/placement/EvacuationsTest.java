package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.junit.jupiter.api.Test;

class EvacuationsTest {

  private static final DataCentre A = DataCentre.of("a");
  private static final DataCentre B = DataCentre.of("b");

  private final ReplicaRegistry registry = ReplicaRegistry.create();

  private static UpstreamReplica replica(String id, DataCentre dataCentre) {
    return new UpstreamReplica(id, "s", new Endpoint("10.0.0.1", 80), dataCentre, 8, false, 1);
  }

  @Test
  void overlappingEvacuationsBeginAndEndOnTheirOwn() {
    Evacuations evacuations = Evacuations.create();
    assertEquals(Set.of(A), evacuations.update(Set.of(A), 1).begun());
    assertTrue(evacuations.update(Set.of(A), 2).isEmpty());
    assertEquals(Set.of(B), evacuations.update(Set.of(A, B), 3).begun());
    Evacuations.Change ended = evacuations.update(Set.of(B), 4);
    assertEquals(Set.of(A), ended.ended());
    assertEquals(Set.of(), ended.begun());
    assertEquals(Map.of(B, 3L), evacuations.begunAt());
    assertEquals(Set.of(B), evacuations.update(Set.of(), 5).ended());
    assertEquals(Set.of(), evacuations.inForce());
  }

  @Test
  void evacuatedReplicasAreNotChosen() {
    UpstreamReplica inA = replica("r1", A);
    UpstreamReplica inB = replica("r2", B);
    registry.replace(List.of(inA, inB));
    registry.evacuate(Set.of(A));
    assertEquals(List.of(inB), registry.notLeaving("s"));
    assertFalse(registry.mayReceive(inA, 0));
    assertTrue(registry.mayReceive(inB, 0));
    assertEquals(Set.of("r1"), registry.evacuated("s"));
    assertFalse(registry.isEvacuated("s"));
    PlacementRequest request = new PlacementRequest("s", 0, Set.of("r2"), true, 1);
    assertEquals(Optional.empty(), registry.choose(request, LeastLoadPlacement.create(), 0));
    assertEquals(Map.of("evacuated", 1, "usable", 1), registry.countByState(0));
    registry.evacuate(Set.of());
    assertEquals(List.of(inA, inB), registry.notLeaving("s"));
    assertTrue(registry.mayReceive(inA, 0));
  }

  /** A replica that registers during the evacuation is one of those that get nothing. */
  @Test
  void evacuationHoldsForReplicasThatAreListedLater() {
    registry.evacuate(Set.of(A));
    registry.replace(List.of(replica("r1", A)));
    assertEquals(List.of(), registry.notLeaving("s"));
    assertTrue(registry.isEvacuated("s"));
  }

  @Test
  void evacuationOfUnknownDataCentreChangesNothing() {
    registry.replace(List.of(replica("r1", A)));
    registry.evacuate(Set.of(DataCentre.of("elsewhere")));
    assertEquals(1, registry.notLeaving("s").size());
    assertFalse(registry.isEvacuated("s"));
    assertFalse(registry.isEvacuated("unknown"));
  }

  /** Requests are rejected at once then, which a service without any replica does not call for. */
  @Test
  void serviceIsEvacuatedIfNoOtherReplicaIsLeft() {
    registry.replace(List.of(replica("r1", A), replica("r2", B).asLeaving()));
    registry.evacuate(Set.of(A));
    assertTrue(registry.isEvacuated("s"));
    registry.replace(List.of(replica("r1", A).asLeaving()));
    assertFalse(registry.isEvacuated("s"));
  }
}
