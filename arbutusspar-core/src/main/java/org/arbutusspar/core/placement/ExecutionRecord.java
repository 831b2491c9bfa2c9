package org.arbutusspar.core.placement;

import java.util.Objects;

/**
 * Tells whether a replica may have run a request, from its attempts so far.
 *
 * <p>An attempt whose sending has started counts as run until a verdict says otherwise. The answer
 * thus does not depend on whether the end of the attempt has been observed: if its response is lost
 * on the way, also inside this process, the request still counts as run.
 *
 * <p>Not thread-safe.
 */
public final class ExecutionRecord {

  /** Whether a replica may have run the request in an attempt whose verdict is known. */
  private boolean mayHaveRunEarlier;

  /** The last attempt if its verdict is not known; otherwise an attempt that was not sent. */
  private Attempt openAttempt = () -> true;

  private ExecutionRecord() {}

  /** Returns the record of a request without attempts. */
  public static ExecutionRecord create() {
    return new ExecutionRecord();
  }

  /**
   * Records the start of an attempt. The attempt before it must have its verdict.
   *
   * @param attempt the attempt, not null
   */
  public void onStarted(Attempt attempt) {
    openAttempt = Objects.requireNonNull(attempt, "attempt");
  }

  /**
   * Records the verdict on the last attempt.
   *
   * @param verdict how the attempt ended, not null
   */
  public void onVerdict(SendVerdict verdict) {
    mayHaveRunEarlier |= verdict.mayHaveRun();
    openAttempt = () -> true;
  }

  /**
   * Returns whether a replica may have run the request or may still run it. Revokes the last
   * attempt if it has not been sent.
   *
   * @return false if no replica has run the request or will run it
   */
  public boolean mayHaveRun() {
    return mayHaveRunEarlier || !openAttempt.revoke();
  }

  /** An attempt to run the request at a replica. */
  @FunctionalInterface
  public interface Attempt {

    /**
     * Prevents the attempt from being sent, unless sending has started.
     *
     * @return true if no byte has been or will be sent
     */
    boolean revoke();
  }
}
