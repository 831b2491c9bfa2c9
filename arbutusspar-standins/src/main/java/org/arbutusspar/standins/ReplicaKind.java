package org.arbutusspar.standins;

/**
 * What a replica stand-in does, and how long it takes.
 *
 * <p>Times are in milliseconds; a unit is the kind's own driver.
 */
public enum ReplicaKind {
  /** Encoder; a unit is a character of the question. */
  ENCODE(16, 4, 0.05),
  /** Retriever; a unit is a document returned. */
  RETRIEVE(16, 8, 0.2),
  /** Reranker; a unit is a candidate. */
  RERANK(8, 6, 1.0),
  /** Model engine; a unit is a token. */
  GENERATE(16, 60, 8.0),
  /** Plain service; one unit a call. */
  PLAIN(16, 10, 0);

  private final int slots;
  private final double baseMillis;
  private final double perUnitMillis;

  ReplicaKind(int slots, double baseMillis, double perUnitMillis) {
    this.slots = slots;
    this.baseMillis = baseMillis;
    this.perUnitMillis = perUnitMillis;
  }

  /** Returns the calls that a replica runs at once. */
  public int slots() {
    return slots;
  }

  /**
   * Returns how long a call takes alone.
   *
   * @param units amount of the driver
   * @return milliseconds
   */
  public double durationMillis(double units) {
    return baseMillis + perUnitMillis * units;
  }
}
