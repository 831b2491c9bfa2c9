package org.arbutusspar.core.routing;

/** Whether the requests of a route may run more than once. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request runs at most once each time that a client sends it. */
  NON_IDEMPOTENT,
  /** The response is a stream of events; runs at most once unless the route is resumable. */
  STREAM
}
