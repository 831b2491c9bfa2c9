package org.arbutusspar.core.stage;

import java.util.List;
import java.util.Objects;
import org.arbutusspar.core.placement.UpstreamReplica;

/**
 * A call that makes one replica compute several pieces. Immutable.
 *
 * @param number number of the call, unique at its batcher
 * @param replica replica that is called
 * @param pieces the pieces, in the order of the call
 * @param startedAt start of the call on the batcher's monotonic clock, in nanoseconds
 * @param expectedNanos expected duration of the call in nanoseconds
 */
public record PieceCall(
    long number, UpstreamReplica replica, List<Piece> pieces, long startedAt, long expectedNanos) {

  /** Checks the components and copies the list. */
  public PieceCall {
    Objects.requireNonNull(replica, "replica");
    pieces = List.copyOf(pieces);
  }

  /** Returns the number of pieces that prefer another data centre than the replica's. */
  public long crossDataCentrePieces() {
    return pieces.stream()
        .filter(
            piece ->
                piece
                    .preferredDataCentre()
                    .filter(p -> !p.equals(replica.dataCentre()))
                    .isPresent())
        .count();
  }
}
