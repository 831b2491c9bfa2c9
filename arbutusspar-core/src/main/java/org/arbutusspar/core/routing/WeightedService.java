package org.arbutusspar.core.routing;

import java.util.Objects;
import org.apache.commons.lang3.Validate;

/**
 * A service and its share of a route's requests.
 *
 * @param service name of the service
 * @param weight weight relative to the route's other services, not negative
 */
public record WeightedService(String service, int weight) {

  /** Checks the components. */
  public WeightedService {
    Objects.requireNonNull(service, "service");
    Validate.isTrue(weight >= 0, "weight must not be negative");
  }
}
