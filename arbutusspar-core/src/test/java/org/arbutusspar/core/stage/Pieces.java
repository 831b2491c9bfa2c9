package org.arbutusspar.core.stage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.routing.PieceLimits;

/** Factory methods for pieces, replicas, limits and responses in tests. */
final class Pieces {

  static final DataCentre HERE = DataCentre.of("here");
  static final DataCentre THERE = DataCentre.of("there");

  private Pieces() {}

  static long millis(long millis) {
    return Nanos.ofMillis(millis);
  }

  static PieceLimits limits(int maxBatchSize, long resultMemoryBytes) {
    return new PieceLimits(1, maxBatchSize, 240, 10, resultMemoryBytes, 4_000);
  }

  static UpstreamReplica replica(String id, DataCentre dataCentre) {
    return new UpstreamReplica(id, "s", new Endpoint("10.0.0.1", 80), dataCentre, 1, false, 0);
  }

  static Piece piece(String requestId, int index) {
    return piece(requestId, index, 0, 1_000, Optional.empty());
  }

  static Piece piece(
      String requestId,
      int index,
      int priority,
      long startByMillis,
      Optional<DataCentre> preferredDataCentre) {
    return new Piece(
        new PieceId(requestId, 0, index),
        "origin",
        "key",
        List.of(),
        priority,
        millis(startByMillis),
        millis(10_000),
        100,
        preferredDataCentre,
        0);
  }

  static List<PieceResponse> allComputed(PieceCall call) {
    List<PieceResponse> responses = new ArrayList<>();
    call.pieces()
        .forEach(piece -> responses.add(PieceResponse.computed("10.0.0.1:80/" + piece.id())));
    return responses;
  }

  static List<PieceResponse> allFailed(PieceCall call, String reason) {
    return call.pieces().stream().map(p -> PieceResponse.failed(reason, true)).toList();
  }
}
