package org.arbutusspar.core.routing;

import java.util.List;
import java.util.Objects;
import org.apache.commons.lang3.Validate;

/**
 * A stage of a route: work that is done before a request is sent to its service. Immutable.
 *
 * @param service name of the service that does the work
 * @param after indexes of the predecessors, the stages whose results this one reads; each is lower
 *     than the index of this stage
 * @param resultBytes approximate size of the result of one piece in bytes
 */
public record RouteStage(String service, List<Integer> after, long resultBytes) {

  /** Checks the components and copies the list. */
  public RouteStage {
    Objects.requireNonNull(service, "service");
    Validate.isTrue(resultBytes >= 0, "resultBytes must not be negative");
    after = List.copyOf(after);
  }
}
