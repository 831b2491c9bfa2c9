package org.arbutusspar.core.stage;

import java.util.Objects;
import java.util.Optional;

/**
 * Response of a replica for one piece of a call.
 *
 * @param handle handle of the result, or empty if the piece was not computed
 * @param reason why the piece was not computed; the empty string if it was
 * @param retryable whether the piece may succeed in another call
 */
public record PieceResponse(Optional<String> handle, String reason, boolean retryable) {

  /** Reason of a piece for whose result the replica had not enough memory. */
  public static final String NO_MEMORY = "no-room";

  /** Checks the components. */
  public PieceResponse {
    Objects.requireNonNull(handle, "handle");
    Objects.requireNonNull(reason, "reason");
  }

  /**
   * Returns the response for a piece that was computed.
   *
   * @param handle handle of the result, not null
   * @return the response
   */
  public static PieceResponse computed(String handle) {
    return new PieceResponse(Optional.of(handle), "", false);
  }

  /**
   * Returns the response for a piece that was not computed.
   *
   * @param reason why it was not computed, not null
   * @param retryable whether the piece may succeed in another call
   * @return the response
   */
  public static PieceResponse failed(String reason, boolean retryable) {
    return new PieceResponse(Optional.empty(), reason, retryable);
  }
}
