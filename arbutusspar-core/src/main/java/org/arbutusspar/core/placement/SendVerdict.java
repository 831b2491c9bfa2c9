package org.arbutusspar.core.placement;

/** How an attempt at a replica ended without success, which decides whether it may be retried. */
public enum SendVerdict {
  /** No byte of the request was sent. */
  NOT_SENT,
  /** The replica reported that it did not run the request. */
  NOT_RUN,
  /** Another replica received the request at the address and did not run it. */
  MISDIRECTED,
  /** The replica ran the request and reported a failure. */
  FAILED,
  /** The request was sent and no valid response arrived, so it may have run. */
  UNKNOWN;

  /** Returns whether a replica may have run the request. */
  public boolean mayHaveRun() {
    return this == FAILED || this == UNKNOWN;
  }

  /** Returns whether the request did not reach the chosen replica. */
  public boolean didNotReachReplica() {
    return this == NOT_SENT || this == MISDIRECTED;
  }
}
