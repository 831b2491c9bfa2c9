package org.arbutusspar.core.routing;

/** What may be repeated on a route. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT,
  /** A request runs at most once for each attempt of a client. */
  NON_IDEMPOTENT,
  /** A series of events; runs at most once unless the route's streams can be resumed. */
  STREAM
}
