package org.arbutusspar.core.placement;

import java.util.Objects;
import java.util.Optional;
import org.apache.commons.lang3.Validate;

/**
 * Decision on a request that asked for a replica. Immutable.
 *
 * @param state the decision
 * @param replica the chosen replica; empty unless the request is placed
 * @param millis expected wait of a request that waits; for a rejected one the time after which its
 *     client should return, 0 if unknown
 */
public record EngineDecision(State state, Optional<UpstreamReplica> replica, long millis) {

  /** Kind of a decision. Sent as its ordinal. */
  public enum State {
    /** A replica is chosen. */
    PLACED,
    /** The request waits for room at a replica. */
    WAITING,
    /** The request is rejected. */
    REJECTED
  }

  /** Checks the components. */
  public EngineDecision {
    Objects.requireNonNull(state, "state");
    Validate.isTrue(
        replica.isPresent() == (state == State.PLACED), "only a placed request has a replica");
    Validate.isTrue(millis >= 0, "millis must not be negative");
  }

  /** Returns the decision for a chosen replica. */
  public static EngineDecision placed(UpstreamReplica replica) {
    return new EngineDecision(State.PLACED, Optional.of(replica), 0);
  }

  /**
   * Returns the decision that a request waits.
   *
   * @param millis expected wait in milliseconds, not negative
   * @return the decision
   */
  public static EngineDecision waiting(long millis) {
    return new EngineDecision(State.WAITING, Optional.empty(), millis);
  }

  /**
   * Returns the decision that a request is rejected.
   *
   * @param millis time after which its client should return, in milliseconds, 0 if unknown
   * @return the decision
   */
  public static EngineDecision rejected(long millis) {
    return new EngineDecision(State.REJECTED, Optional.empty(), millis);
  }
}
