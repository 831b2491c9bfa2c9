package org.arbutusspar.core.peer;

/** A table that instances read from the store and copy from one another. Sent as its ordinal. */
public enum TableName {
  /** Configuration written by operators. */
  CONFIGURATION,
  /** Replicas of the upstream services. */
  REPLICAS,
  /** Entry instances. */
  INSTANCES
}
