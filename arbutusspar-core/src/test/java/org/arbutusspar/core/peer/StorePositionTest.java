package org.arbutusspar.core.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StorePositionTest {

  @Test
  void laterEraIsLargerWhateverTheOffsets() {
    long before = StorePosition.of(3, 1_000_000);
    long after = StorePosition.of(4, 0);
    assertTrue(after > before);
    assertTrue(StorePosition.isLaterEra(after, before));
    assertFalse(StorePosition.isLaterEra(before, after));
    assertFalse(StorePosition.isLaterEra(after, -1), "no position has no era");
    assertEquals(4, StorePosition.era(after));
    assertEquals(1_000_000, StorePosition.offset(before));
    assertEquals("3/1000000", StorePosition.toText(before));
  }

  @Test
  void positionWithoutErasIsTheOffset() {
    assertEquals(57, StorePosition.of(0, 57));
    assertEquals(-1, StorePosition.offset(-1));
    assertEquals("-1", StorePosition.toText(-1));
  }

  @Test
  void numbersOutOfRangeAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> StorePosition.of(-1, 0));
    assertThrows(IllegalArgumentException.class, () -> StorePosition.of(0, 1L << 40));
    assertThrows(IllegalArgumentException.class, () -> StorePosition.of(1L << 24, 0));
  }
}
