package org.arbutusspar.core.stage;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.arbutusspar.core.id.DataCentre;

/**
 * A unit of work of a stage, which a replica computes as part of a call. Immutable. Times are on
 * the monotonic clock of the instance that batches the piece, in nanoseconds.
 *
 * @param id identifier of the piece
 * @param origin instance that serves the request of the piece
 * @param key key of the input data, for stages that read no results; empty otherwise
 * @param inputs handles of the results that the piece reads
 * @param priority priority rank of the request, 0 is the most urgent
 * @param startBy latest start time for which the request can still be answered within its target
 *     time; after it the piece is late
 * @param deadline time after which the result is useless
 * @param resultBytes approximate size of the result in bytes
 * @param preferredDataCentre data centre in which the result will be read or the inputs are stored,
 *     if known
 * @param attempts number of calls that have failed to compute the piece
 */
public record Piece(
    PieceId id,
    String origin,
    String key,
    List<String> inputs,
    int priority,
    long startBy,
    long deadline,
    long resultBytes,
    Optional<DataCentre> preferredDataCentre,
    int attempts) {

  /** Checks the components and copies the list. */
  public Piece {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(origin, "origin");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(preferredDataCentre, "preferredDataCentre");
    inputs = List.copyOf(inputs);
  }

  /** Returns a copy of the piece that counts one more failed call. */
  public Piece withFailedAttempt() {
    return new Piece(
        id,
        origin,
        key,
        inputs,
        priority,
        startBy,
        deadline,
        resultBytes,
        preferredDataCentre,
        attempts + 1);
  }
}
