package org.arbutusspar.core.routing;

import java.util.List;
import java.util.Objects;
import org.apache.commons.lang3.Validate;

/**
 * Work that is done before a request of a route runs. Immutable.
 *
 * @param service service that does the work
 * @param after indexes of the stages whose results the work needs, each below the stage's own
 * @param resultBytes approximate size of one result
 */
public record RouteStage(String service, List<Integer> after, long resultBytes) {

  /** Checks the components and copies the list. */
  public RouteStage {
    Objects.requireNonNull(service, "service");
    Validate.isTrue(resultBytes >= 0, "resultBytes must not be negative");
    after = List.copyOf(after);
  }
}
