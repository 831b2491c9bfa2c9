package org.arbutusspar.core.stage;

import java.util.List;
import java.util.Objects;

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
    int attempts) {

  /** Checks the components and copies the list. */
  public Piece {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(origin, "origin");
    Objects.requireNonNull(key, "key");
    inputs = List.copyOf(inputs);
  }

  /** Returns the piece after one more failed call. */
  public Piece failedOnce() {
    return new Piece(
        id, origin, key, inputs, priority, startBy, deadline, resultBytes, attempts + 1);
  }
}
