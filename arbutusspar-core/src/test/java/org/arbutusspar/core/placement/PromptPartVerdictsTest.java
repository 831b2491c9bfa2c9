package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PromptPartVerdictsTest {

  private final PromptPartVerdicts verdicts = PromptPartVerdicts.create();

  @Test
  void blockEndsAtItsTime() {
    PromptPartVerdict verdict = PromptPartVerdict.blocked("x", 1_000, 500);
    assertTrue(verdicts.put(verdict));
    assertEquals(Optional.of(verdict), verdicts.findBlocked(List.of("a", "x"), 1_499));
    assertEquals(Optional.empty(), verdicts.findBlocked(List.of("x"), 1_500));
    assertEquals(Optional.empty(), verdicts.findBlocked(List.of("a"), 1_100));
    assertEquals(1, verdicts.blockedCount(1_100));
    assertEquals(0, verdicts.blockedCount(1_500));
  }

  /** An instance that was cut off would restore a decision that others have replaced. */
  @Test
  void laterDecisionIsInForceInAnyOrder() {
    assertTrue(verdicts.put(PromptPartVerdict.permitted("x", 2_000)));
    assertFalse(verdicts.put(PromptPartVerdict.blocked("x", 1_000, 60_000)));
    assertFalse(verdicts.put(PromptPartVerdict.permitted("x", 2_000)));
    assertEquals(Optional.empty(), verdicts.findBlocked(List.of("x"), 2_100));
    assertTrue(verdicts.put(PromptPartVerdict.blocked("x", 3_000, 60_000)));
    assertTrue(verdicts.findBlocked(List.of("x"), 3_000).isPresent());
    assertEquals(3_000, verdicts.decidedMillis("x"));
  }

  @Test
  void numberOfPartsIsBounded() {
    for (int i = 0; i < 2_000; i++) {
      verdicts.put(PromptPartVerdict.blocked("x" + i, 1, 1_000));
    }
    assertEquals(512, verdicts.blockedCount(2));
    assertTrue(verdicts.findBlocked(List.of("x1999"), 2).isPresent());
  }
}
