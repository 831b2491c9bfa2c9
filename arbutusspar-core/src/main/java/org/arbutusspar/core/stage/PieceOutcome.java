package org.arbutusspar.core.stage;

import java.util.Objects;
import java.util.Optional;

/**
 * Final outcome of a piece at its batcher: a result, or the reason why there is none.
 *
 * @param id identifier of the piece
 * @param result the result, or empty if the piece has none
 * @param reason why the piece has no result; the empty string if it has one
 */
public record PieceOutcome(PieceId id, Optional<StageResult> result, String reason) {

  /**
   * Reason of a piece that was not computed because it could not start before its deadline. A piece
   * that is only past its latest start time is still computed.
   */
  public static final String LATE = "late";

  /** Reason of a piece one of whose inputs has expired or been released. */
  public static final String INPUT_GONE = "input-gone";

  /** Reason of a piece whose calls failed or were rejected. */
  public static final String FAILED = "failed";

  /** Reason of a piece that has to be submitted again, to the instance that is now its batcher. */
  public static final String REASSIGNED = "moved";

  /** Checks the components. */
  public PieceOutcome {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(result, "result");
    Objects.requireNonNull(reason, "reason");
  }

  /**
   * Returns the outcome of a piece that was computed.
   *
   * @param id identifier of the piece, not null
   * @param result its result, not null
   * @return the outcome
   */
  public static PieceOutcome computed(PieceId id, StageResult result) {
    return new PieceOutcome(id, Optional.of(result), "");
  }

  /**
   * Returns the outcome of a piece that has no result.
   *
   * @param id identifier of the piece, not null
   * @param reason why it has no result, not null
   * @return the outcome
   */
  public static PieceOutcome failed(PieceId id, String reason) {
    return new PieceOutcome(id, Optional.empty(), reason);
  }
}
