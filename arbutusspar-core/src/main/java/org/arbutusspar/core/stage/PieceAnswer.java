package org.arbutusspar.core.stage;

import java.util.Objects;
import java.util.Optional;

/**
 * What a replica answered for one piece of a call.
 *
 * @param handle handle of the result, or empty if there is none
 * @param reason why there is no result; empty if there is one
 * @param mayTryAgain whether another call may make the piece
 */
public record PieceAnswer(Optional<String> handle, String reason, boolean mayTryAgain) {

  /** Reason of a piece for whose result the replica had no room. */
  public static final String NO_ROOM = "no-room";

  /** Checks the components. */
  public PieceAnswer {
    Objects.requireNonNull(handle, "handle");
    Objects.requireNonNull(reason, "reason");
  }

  /**
   * Returns the answer for a piece that was made.
   *
   * @param handle handle of the result, not null
   * @return the answer
   */
  public static PieceAnswer made(String handle) {
    return new PieceAnswer(Optional.of(handle), "", false);
  }

  /**
   * Returns the answer for a piece that was not made.
   *
   * @param reason why, not null
   * @param mayTryAgain whether another call may make it
   * @return the answer
   */
  public static PieceAnswer none(String reason, boolean mayTryAgain) {
    return new PieceAnswer(Optional.empty(), reason, mayTryAgain);
  }
}
