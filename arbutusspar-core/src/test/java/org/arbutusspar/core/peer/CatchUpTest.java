package org.arbutusspar.core.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.arbutusspar.core.Nanos;
import org.junit.jupiter.api.Test;

class CatchUpTest {

  private static final List<String> SOURCES = List.of("h-1", "h-2", "h-3");

  /** Guards against a time that starts anew with each heartbeat, which hides how late a copy is. */
  @Test
  void timeCountsFromTheFirstHeartbeatThatShowsTheChange() {
    CatchUp catchUp = CatchUp.create("e-1");
    catchUp.onBehind(Nanos.ofMillis(1_000));
    catchUp.nextSource(SOURCES);
    catchUp.onBehind(Nanos.ofMillis(1_400));
    catchUp.nextSource(SOURCES);
    assertEquals(2, catchUp.requests());
    assertEquals(Nanos.ofMillis(700), catchUp.behindNanos(Nanos.ofMillis(1_700)));
    catchUp.onCaughtUp();
    assertFalse(catchUp.isBehind());
    assertEquals(0, catchUp.behindNanos(Nanos.ofMillis(1_800)));
    catchUp.onBehind(Nanos.ofMillis(2_000));
    assertEquals(0, catchUp.requests());
  }

  /**
   * An instance requested a version again and again from one peer that announced it but did not
   * send it, while others could have.
   */
  @Test
  void eachPeerIsAskedBeforeOneIsAskedAgain() {
    CatchUp catchUp = CatchUp.create("e-1");
    catchUp.onBehind(0);
    for (int round = 0; round < 3; round++) {
      Set<String> asked = new HashSet<>();
      for (int i = 0; i < SOURCES.size(); i++) {
        asked.add(catchUp.nextSource(SOURCES).orElseThrow());
      }
      assertEquals(Set.copyOf(SOURCES), asked);
    }
    assertEquals(Optional.empty(), catchUp.nextSource(List.of()));
  }

  /** All instances request a change at once; one peer cannot send it to all of them in time. */
  @Test
  void firstRequestsOfManyInstancesAreSpreadOverThePeers() {
    int[] requests = new int[SOURCES.size()];
    for (int i = 0; i < 300; i++) {
      CatchUp catchUp = CatchUp.create("e-" + i);
      requests[SOURCES.indexOf(catchUp.nextSource(SOURCES).orElseThrow())]++;
    }
    for (int count : requests) {
      assertTrue(count > 60, count + " requests");
    }
  }

  /**
   * An instance did not read the store while a peer announced a version that it did not send. The
   * bound until a version is in force is 2 s in small deployments.
   */
  @Test
  void storeIsReadIfPeersDoNotSendChangesInTime() {
    CatchUp catchUp = CatchUp.create("e-1");
    assertFalse(catchUp.needsStore(Nanos.ofMillis(5_000)), "lacks nothing");
    catchUp.onBehind(Nanos.ofMillis(6_000));
    assertFalse(catchUp.needsStore(Nanos.ofMillis(6_100)));
    assertTrue(catchUp.needsStore(Nanos.ofMillis(7_000)));
  }
}
