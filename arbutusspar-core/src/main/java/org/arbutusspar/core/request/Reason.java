package org.arbutusspar.core.request;

import java.util.Locale;

/** Why a request got no answer. */
public enum Reason {
  /** The rest of the path would take longer than the deadline leaves. */
  OVERLOADED,
  /** The deadline passed. */
  DEADLINE,
  /** A table or queue of the instance is full. */
  INSTANCE_FULL,
  /** The instance is shutting down and takes no new requests. */
  LEAVING,
  /** The configuration has no such pipeline or service. */
  NO_SUCH_TARGET,
  /** No replica of a needed service is live. */
  NO_REPLICA,
  /** The identifier was used for another request before. */
  IDENTIFIER_REUSED,
  /** The identifier is too old to start a request under it. */
  IDENTIFIER_EXPIRED,
  /** The instance that is home to the identifier is gone or cannot be reached. */
  HOME_GONE,
  /** The identifier's record is no longer kept. */
  NOT_KEPT,
  /** The upstream refused or failed the call. */
  UPSTREAM_FAILED,
  /** The connection to the upstream was lost after the call was handed over. */
  UPSTREAM_LOST,
  /** The upstream's answer did not fit the request. */
  INVALID_ANSWER,
  /** The caller gave up. */
  CALLER_LEFT;

  /** Returns the reason in lower case, as sent to callers. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
