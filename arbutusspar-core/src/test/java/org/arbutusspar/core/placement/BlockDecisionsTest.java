package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class BlockDecisionsTest {

  private final BlockDecisions decisions = BlockDecisions.create();

  @Test
  void blockEndsAtItsTime() {
    BlockDecision decision = BlockDecision.blocked("x", 1_000, 500);
    assertTrue(decisions.put(decision));
    assertEquals(Optional.of(decision), decisions.findBlocked(List.of("a", "x"), 1_499));
    assertEquals(Optional.empty(), decisions.findBlocked(List.of("x"), 1_500));
    assertEquals(Optional.empty(), decisions.findBlocked(List.of("a"), 1_100));
    assertEquals(List.of("x"), decisions.blockedSubjects(1_100));
    assertEquals(List.of(), decisions.blockedSubjects(1_500));
  }

  /** An instance that was cut off would restore a decision that others have replaced. */
  @Test
  void laterDecisionIsInForceInAnyOrder() {
    assertTrue(decisions.put(BlockDecision.permitted("x", 2_000)));
    assertFalse(decisions.put(BlockDecision.blocked("x", 1_000, 60_000)));
    assertFalse(decisions.put(BlockDecision.permitted("x", 2_000)));
    assertEquals(Optional.empty(), decisions.findBlocked(List.of("x"), 2_100));
    assertTrue(decisions.put(BlockDecision.blocked("x", 3_000, 60_000)));
    assertTrue(decisions.findBlocked(List.of("x"), 3_000).isPresent());
    assertEquals(3_000, decisions.decidedMillis("x"));
  }

  @Test
  void numberOfSubjectsIsBounded() {
    for (int i = 0; i < 2_000; i++) {
      decisions.put(BlockDecision.blocked("x" + i, 1, 1_000));
    }
    assertEquals(512, decisions.blockedSubjects(2).size());
    assertTrue(decisions.findBlocked(List.of("x1999"), 2).isPresent());
  }
}
