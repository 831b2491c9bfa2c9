package org.arbutusspar.standins;

/**
 * Kind of service that a replica stand-in simulates, with its concurrency and its cost model.
 *
 * <p>An unloaded call takes a base time plus a time per unit, both in milliseconds. What a unit is
 * depends on the kind.
 */
public enum ReplicaKind {
  /** Text encoder; a unit is a character of the question. */
  ENCODE(16, 4, 0.05),
  /** Document retriever; a unit is a returned document. */
  RETRIEVE(16, 8, 0.2),
  /** Reranker; a unit is a candidate document. */
  RERANK(8, 6, 1.0),
  /** Model engine; a unit is a generated token. */
  GENERATE(16, 60, 8.0),
  /** Plain service; each call is one unit and takes the base time only. */
  PLAIN(16, 10, 0);

  private final int slots;
  private final double baseMillis;
  private final double perUnitMillis;

  ReplicaKind(int slots, double baseMillis, double perUnitMillis) {
    this.slots = slots;
    this.baseMillis = baseMillis;
    this.perUnitMillis = perUnitMillis;
  }

  /** Returns the maximum number of calls that a replica runs concurrently. */
  public int slots() {
    return slots;
  }

  /**
   * Returns the duration of a call on a replica that runs no other call.
   *
   * @param units number of units of the call; 0 gives the base time
   * @return the duration, in milliseconds
   */
  public double durationMillis(double units) {
    return baseMillis + perUnitMillis * units;
  }
}
