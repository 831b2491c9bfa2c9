package org.arbutusspar.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.arbutusspar.core.Nanos;
import org.junit.jupiter.api.Test;

class ShutdownAdmissionTest {

  private static final long START = Long.MAX_VALUE - 1;
  private static final long SHUTDOWN_MILLIS = 7_300;
  private static final ShutdownAdmission ADMISSION =
      ShutdownAdmission.of(START, at(SHUTDOWN_MILLIS));

  private static long at(long millis) {
    return START + Nanos.ofMillis(millis);
  }

  private static boolean permits(RouteKind kind, long arrivalMillis, long timeoutMillis) {
    return ADMISSION.permits(kind, at(arrivalMillis + timeoutMillis), at(arrivalMillis));
  }

  /**
   * Guards against streams that are cut at the end of a shutdown. Clients that keep an address for
   * 6 s send a stream each 200 ms, each of which may last as long as its deadline of 12 s.
   */
  @Test
  void longStreamsAreAcceptedOnlyWhileClientsCannotKnowOfTheShutdown() {
    for (long arrival = 0; arrival < 6_000; arrival += 200) {
      assertEquals(arrival < 2_500, permits(RouteKind.STREAM, arrival, 12_000), arrival + " ms");
    }
  }

  @Test
  void requestsThatEndBeforeTheInstanceAreAccepted() {
    for (RouteKind kind : RouteKind.values()) {
      assertTrue(permits(kind, 6_100, 1_200), kind + "");
      assertFalse(permits(kind, 6_101, 1_200), kind + "");
    }
  }

  @Test
  void streamsOfUsualLengthThatWouldBeCutAreRejectedFromTheStart() {
    ShutdownAdmission shortShutdown = ShutdownAdmission.of(START, at(3_900));
    assertFalse(shortShutdown.permits(RouteKind.STREAM, at(12_000), START));
    assertTrue(shortShutdown.permits(RouteKind.IDEMPOTENT, at(12_000), START));
    assertFalse(ShutdownAdmission.of(START, at(900)).permits(RouteKind.STREAM, at(901), START));
  }

  @Test
  void endBeforeStartIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> ShutdownAdmission.of(START, START - 1));
  }
}
