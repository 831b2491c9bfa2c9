package org.arbutusspar.core.placement;

import java.util.Objects;

/**
 * Break of the connection to a replica under a request, before its response was complete, as
 * instances pass it on to each other. Immutable.
 *
 * @param subject subject of the request, see {@link RequestIdentity#subject()}
 * @param incarnation name of the incarnation of the replica
 * @param sentAt monotonic time when the request was sent, in nanoseconds
 * @param brokenAt monotonic time of the break, in nanoseconds
 */
public record CrashReport(String subject, String incarnation, long sentAt, long brokenAt) {

  /** Checks that the names are not null. */
  public CrashReport {
    Objects.requireNonNull(subject, "subject");
    Objects.requireNonNull(incarnation, "incarnation");
  }
}
