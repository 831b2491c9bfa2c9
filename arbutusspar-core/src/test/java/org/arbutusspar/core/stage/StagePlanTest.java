package org.arbutusspar.core.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.arbutusspar.core.routing.RouteStage;
import org.junit.jupiter.api.Test;

class StagePlanTest {

  /** A stage without predecessors or readers (0), and a chain of three stages (1, 2, 3). */
  private static final List<RouteStage> STAGES =
      List.of(
          new RouteStage("w", List.of(), 800),
          new RouteStage("w", List.of(), 8),
          new RouteStage("x", List.of(1), 60),
          new RouteStage("y", List.of(2), 6));

  private static StageResult result(String handle) {
    return new StageResult(handle, "g", 1);
  }

  private static StagePlan plan(Integer... pieceCounts) {
    return StagePlan.create(STAGES, List.of(pieceCounts));
  }

  @Test
  void stageStartsWhenItsPredecessorsAreDone() {
    StagePlan plan = plan(1, 1, 2, 1);
    assertEquals(List.of(0, 1), plan.startNext());
    assertTrue(plan.startNext().isEmpty());
    plan.complete(1, 0, result("b"));
    assertEquals(List.of(2), plan.startNext());
    plan.complete(2, 1, result("d"));
    assertTrue(plan.startNext().isEmpty());
    plan.complete(2, 0, result("c"));
    assertEquals(List.of(3), plan.startNext());
    assertEquals(List.of(result("c"), result("d")), plan.inputsOf(3));
  }

  @Test
  void requestReadsResultsOfTerminalStages() {
    StagePlan plan = plan(1, 1, 1, 1);
    plan.complete(0, 0, result("a"));
    plan.complete(1, 0, result("b"));
    plan.complete(2, 0, result("c"));
    assertFalse(plan.isDone());
    plan.complete(3, 0, result("d"));
    assertTrue(plan.isDone());
    assertEquals(List.of(result("a"), result("d")), plan.requestInputs());
  }

  @Test
  void duplicateResultOfPieceIsIgnored() {
    StagePlan plan = plan(1, 1, 1, 1);
    assertTrue(plan.complete(0, 0, result("a")));
    assertFalse(plan.complete(0, 0, result("z")));
    assertFalse(plan.isDone());
  }

  @Test
  void stageWithoutPiecesCountsAsDone() {
    StagePlan plan = plan(0, 1, 1, 1);
    assertEquals(List.of(1), plan.startNext());
    assertTrue(plan.isDone(0));
  }

  @Test
  void resultsAreReturnedForReleaseOnce() {
    StagePlan plan = plan(1, 1, 1, 1);
    plan.complete(0, 0, result("a"));
    plan.complete(1, 0, result("b"));
    assertTrue(plan.takeConsumed().isEmpty(), "stage 2 has not yet read the result");
    plan.complete(2, 0, result("c"));
    assertEquals(List.of(result("b")), plan.takeConsumed());
    assertTrue(plan.takeConsumed().isEmpty());
    assertEquals(List.of(result("a"), result("c")), plan.takeRemaining());
    assertTrue(plan.takeRemaining().isEmpty());
  }

  @Test
  void longestPathFromStageIsReturned() {
    assertEquals(List.of(1, 2, 3), plan(1, 1, 1, 1).longestPathFrom(1));
    assertEquals(List.of(0), plan(1, 1, 1, 1).longestPathFrom(0));
  }

  @Test
  void invalidPieceCountsAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> StagePlan.create(STAGES, List.of(1, 1, 1)));
    assertThrows(IllegalArgumentException.class, () -> plan(1, -1, 1, 1));
  }
}
