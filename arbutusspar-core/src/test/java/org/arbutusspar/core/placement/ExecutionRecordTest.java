package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ExecutionRecordTest {

  private final ExecutionRecord execution = ExecutionRecord.create();

  @Test
  void requestWithoutAttemptsHasNotRun() {
    assertFalse(execution.mayHaveRun());
  }

  /**
   * Guards against requests that are rejected as not run although a replica has run them: the
   * attempt had ended, but its end was lost before it led to a verdict.
   */
  @Test
  void sentAttemptWithoutVerdictMayHaveRun() {
    execution.onStarted(() -> false);
    assertTrue(execution.mayHaveRun());
  }

  @Test
  void attemptThatCanBeRevokedHasNotRun() {
    execution.onStarted(() -> true);
    assertFalse(execution.mayHaveRun());
  }

  @ParameterizedTest
  @EnumSource(SendVerdict.class)
  void verdictDecidesForItsAttemptOnly(SendVerdict verdict) {
    execution.onStarted(() -> false);
    execution.onVerdict(verdict);
    boolean mayHaveRun = verdict == SendVerdict.FAILED || verdict == SendVerdict.UNKNOWN;
    assertEquals(mayHaveRun, execution.mayHaveRun());
    execution.onStarted(() -> true);
    assertEquals(mayHaveRun, execution.mayHaveRun());
    execution.onVerdict(SendVerdict.NOT_RUN);
    assertEquals(mayHaveRun, execution.mayHaveRun());
    execution.onStarted(() -> false);
    assertTrue(execution.mayHaveRun());
  }
}
