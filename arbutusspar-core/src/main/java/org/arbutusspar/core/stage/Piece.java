package org.arbutusspar.core.stage;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.arbutusspar.core.id.DataCentre;

/**
 * A piece of work that waits to be done. Immutable. Times are on the steady clock of the instance
 * that gathers the piece, in nanoseconds.
 *
 * @param id names the piece
 * @param origin instance whose request it belongs to
 * @param key what the work is about, for stages without inputs; empty otherwise
 * @param inputs handles of the results it reads
 * @param priority rank of the request, 0 is the most urgent
 * @param startBy latest start for which the request can still be in time
 * @param deadline when its result is of no use any more
 * @param resultBytes approximate size of the result
 * @param preferredDataCentre data centre in which the result is read or its inputs lie, if known
 * @param attempts calls that have failed to make it so far
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
    Objects.requireNonNull(preferredDataCentre, "near");
    inputs = List.copyOf(inputs);
  }

  /** Returns the piece after one more failed call. */
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
