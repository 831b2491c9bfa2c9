package org.arbutusspar.core.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.arbutusspar.core.Nanos;
import org.junit.jupiter.api.Test;

class CatchUpTest {

  /** Guards against a time that starts anew with each heartbeat, which hides how late a copy is. */
  @Test
  void timeCountsFromTheFirstHeartbeatThatShowsTheChange() {
    CatchUp catchUp = CatchUp.create();
    catchUp.onBehind(Nanos.ofMillis(1_000));
    catchUp.onRequest();
    catchUp.onBehind(Nanos.ofMillis(1_400));
    catchUp.onRequest();
    assertEquals(2, catchUp.requests());
    assertEquals(Nanos.ofMillis(700), catchUp.behindNanos(Nanos.ofMillis(1_700)));
    catchUp.onCaughtUp();
    assertFalse(catchUp.isBehind());
    assertEquals(0, catchUp.behindNanos(Nanos.ofMillis(1_800)));
    catchUp.onBehind(Nanos.ofMillis(2_000));
    assertEquals(0, catchUp.requests());
  }
}
