package org.arbutusspar.core.placement;

import java.util.Objects;
import org.apache.commons.lang3.Validate;

/**
 * What a request to a model engine needs, and by when. Immutable. Times are monotonic, in
 * nanoseconds.
 *
 * @param kind kind of the request: the name of its route
 * @param workspace name of the workspace that sends it, the empty string if there is none
 * @param rank priority rank, 0 is the most urgent
 * @param outputTokens expected number of tokens of the response
 * @param targetAt time until which a response that starts counts as in time
 * @param deadline time after which the request is not to be started
 * @param returned whether the client has probably sent it before and been rejected
 * @param mayHaveRun whether a replica may have run it, so that it must not be rejected as not run
 */
public record EngineDemand(
    String kind,
    String workspace,
    int rank,
    long outputTokens,
    long targetAt,
    long deadline,
    boolean returned,
    boolean mayHaveRun) {

  /** Checks the components. */
  public EngineDemand {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(workspace, "workspace");
    Validate.isTrue(rank >= 0, "rank must not be negative");
    Validate.isTrue(outputTokens >= 0, "outputTokens must not be negative");
  }
}
