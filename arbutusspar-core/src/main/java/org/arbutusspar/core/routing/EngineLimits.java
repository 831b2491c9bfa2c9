package org.arbutusspar.core.routing;

import org.apache.commons.lang3.Validate;

/**
 * Capacity of each replica of a model engine. Immutable.
 *
 * @param slots number of requests that it runs at the same time, 0 if unknown
 * @param memoryTokens number of tokens of running requests and cached prompt parts that fit into
 *     its memory, 0 if unknown
 */
public record EngineLimits(int slots, long memoryTokens) {

  /** Checks the components. */
  public EngineLimits {
    Validate.isTrue(slots >= 0, "slots must not be negative");
    Validate.isTrue(memoryTokens >= 0, "memoryTokens must not be negative");
  }
}
