package org.arbutusspar.core.stage;

import java.util.Objects;
import java.util.Optional;

/**
 * What a replica answered for one piece of a call.
 *
 * @param handle handle of the result, or empty if there is none
 * @param reason why there is no result; empty if there is one
 * @param retryable whether another call may make the piece
 */
public record PieceResponse(Optional<String> handle, String reason, boolean retryable) {

  /** Reason of a piece for whose result the replica had no room. */
  public static final String NO_MEMORY = "no-room";

  /** Checks the components. */
  public PieceResponse {
    Objects.requireNonNull(handle, "handle");
    Objects.requireNonNull(reason, "reason");
  }

  /**
   * Returns the answer for a piece that was made.
   *
   * @param handle handle of the result, not null
   * @return the answer
   */
  public static PieceResponse computed(String handle) {
    return new PieceResponse(Optional.of(handle), "", false);
  }

  /**
   * Returns the answer for a piece that was not made.
   *
   * @param reason why, not null
   * @param retryable whether another call may make it
   * @return the answer
   */
  public static PieceResponse failed(String reason, boolean retryable) {
    return new PieceResponse(Optional.empty(), reason, retryable);
  }
}
