package org.arbutusspar.core.request;

import java.util.Locale;

/** Reason for which a request has no answer. */
public enum Reason {
  /** Overload: the remaining stages are predicted to take longer than the time to the deadline. */
  OVERLOADED,
  /** The deadline passed before the answer was complete. */
  DEADLINE,
  /** A table or queue of the instance is full. */
  INSTANCE_FULL,
  /** The instance is shutting down and accepts no new requests. */
  LEAVING,
  /** The configuration has no pipeline or service with the requested name. */
  NO_SUCH_TARGET,
  /** No replica of a needed service is live. */
  NO_REPLICA,
  /** The identifier was already used for a request with another target or body. */
  IDENTIFIER_REUSED,
  /**
   * The identifier was issued too long ago to start a request with it, or its time of issue is too
   * far in the future.
   */
  IDENTIFIER_EXPIRED,
  /** The instance that is home to the identifier has terminated or cannot be reached. */
  HOME_GONE,
  /** The outcome of the request with this identifier is not stored, or no longer. */
  NOT_KEPT,
  /** The upstream rejected the call or failed to run it. */
  UPSTREAM_FAILED,
  /**
   * The connection to the upstream was lost after sending of the call began, so it may have run.
   */
  UPSTREAM_LOST,
  /** The response of the upstream was not valid for the request. */
  INVALID_ANSWER,
  /** The caller closed its connection before the answer was complete. */
  CALLER_LEFT;

  /** Returns the name in lower case, as sent to callers. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
