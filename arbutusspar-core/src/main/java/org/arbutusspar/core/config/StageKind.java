package org.arbutusspar.core.config;

/** Kind of work that a stage or a service does. */
public enum StageKind {
  /** Computes the embedding of the question; cost driver: characters of the question. */
  ENCODE,
  /** Finds documents for the question; cost driver: documents in the catalogue. */
  RETRIEVE,
  /** Orders the found documents by relevance; cost driver: candidate documents. */
  RERANK,
  /** Generates the answer; cost driver: tokens of the answer. */
  GENERATE,
  /** Any other call, whose body is forwarded unchanged; it counts as one unit. */
  PLAIN
}
