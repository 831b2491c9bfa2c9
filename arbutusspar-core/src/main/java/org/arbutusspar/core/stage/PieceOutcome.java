package org.arbutusspar.core.stage;

import java.util.Objects;
import java.util.Optional;

/**
 * What became of a piece.
 *
 * @param id names the piece
 * @param result the result, or empty if there is none
 * @param reason why there is no result; empty if there is one
 */
public record PieceOutcome(PieceId id, Optional<StageResult> result, String reason) {

  /** Reason of a piece that could not start before its deadline. */
  public static final String LATE = "late";

  /** Reason of a piece one of whose inputs is gone. */
  public static final String INPUT_GONE = "input-gone";

  /** Reason of a piece that no replica could make. */
  public static final String FAILED = "failed";

  /** Reason of a piece that is to be handed to the instance which gathers it now. */
  public static final String REASSIGNED = "moved";

  /** Checks the components. */
  public PieceOutcome {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(result, "result");
    Objects.requireNonNull(reason, "reason");
  }

  /**
   * Returns the outcome of a piece that was made.
   *
   * @param id names the piece, not null
   * @param result its result, not null
   * @return the outcome
   */
  public static PieceOutcome computed(PieceId id, StageResult result) {
    return new PieceOutcome(id, Optional.of(result), "");
  }

  /**
   * Returns the outcome of a piece that has no result.
   *
   * @param id names the piece, not null
   * @param reason why, not null
   * @return the outcome
   */
  public static PieceOutcome failed(PieceId id, String reason) {
    return new PieceOutcome(id, Optional.empty(), reason);
  }
}
