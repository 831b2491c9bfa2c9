package org.arbutusspar.core.peer;

/** Why an instance reads the tables from the store, or that it does not. */
public enum StoreRole {
  /** Reads for the whole deployment. */
  READER,
  /** Reads for itself, because no peer is known to reach the store. */
  FALLBACK,
  /** Does not read, and copies changes from its peers. */
  FOLLOWER
}
