package org.arbutusspar.core.config;

/** Kind of work that a stage or a service does. */
public enum StageKind {
  /** Turns the question into a vector; cost grows with the question's length. */
  ENCODE,
  /** Finds documents; cost grows with the size of the catalogue. */
  RETRIEVE,
  /** Orders documents; cost grows with the number of candidates. */
  RERANK,
  /** Writes the answer; cost grows with the answer's length. */
  GENERATE,
  /** Any other call, passed through as it is. */
  PLAIN
}
