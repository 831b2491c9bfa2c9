package org.arbutusspar.core.placement;

/** How an attempt at a replica ended, as far as it bears on sending the request again. */
public enum SendVerdict {
  /** No byte was handed to the replica. */
  NOT_SENT,
  /** The replica said that it did not run the request. */
  NOT_RUN,
  /** Another replica listens at the address; it did not run the request. */
  MISDIRECTED,
  /** The replica ran the request and answered with a failure. */
  FAILED,
  /** The request was handed over and no usable answer came: it may have run. */
  UNKNOWN;

  /** Returns whether the replica that was meant has not seen the request. */
  public boolean didNotReachReplica() {
    return this == NOT_SENT || this == MISDIRECTED;
  }
}
