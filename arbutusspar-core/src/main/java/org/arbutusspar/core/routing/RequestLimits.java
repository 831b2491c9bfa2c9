package org.arbutusspar.core.routing;

/**
 * Bounds on what clients send.
 *
 * @param headerBytes most bytes of a request's header
 * @param bodyBytes most bytes of a request's body
 * @param headerMillis longest time for sending a header
 * @param idleMillis longest time that a connection stays idle
 */
public record RequestLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {

  /** Bounds that hold until a configuration is known. */
  public static final RequestLimits DEFAULT =
      new RequestLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}
