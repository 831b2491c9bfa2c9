package org.arbutusspar.core.routing;

/**
 * Limits on requests and connections of clients.
 *
 * @param headerBytes maximum size of a request's header in bytes
 * @param bodyBytes maximum size of a request's body in bytes
 * @param headerMillis maximum time in which a header must arrive, in milliseconds
 * @param idleMillis maximum time that a connection stays open while idle, in milliseconds
 */
public record RequestLimits(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {

  /** Limits that apply until a configuration has been loaded. */
  public static final RequestLimits DEFAULT =
      new RequestLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}
