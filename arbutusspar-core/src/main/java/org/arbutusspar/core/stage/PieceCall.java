package org.arbutusspar.core.stage;

import java.util.List;
import java.util.Objects;
import org.arbutusspar.core.placement.UpstreamReplica;

/**
 * A call that has several pieces made by one replica. Immutable.
 *
 * @param number number of the call at its gatherer
 * @param replica the replica
 * @param pieces the pieces, in the order of the call
 * @param startedAt when the call was made
 * @param expectedNanos how long it should take
 */
public record PieceCall(
    long number, UpstreamReplica replica, List<Piece> pieces, long startedAt, long expectedNanos) {

  /** Checks the components and copies the list. */
  public PieceCall {
    Objects.requireNonNull(replica, "replica");
    pieces = List.copyOf(pieces);
  }

  /** Returns the number of pieces that lie better in another data centre than the replica's. */
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
