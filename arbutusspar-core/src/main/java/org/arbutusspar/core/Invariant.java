package org.arbutusspar.core;

/** Checks of invariants. Unlike Java assertions, they are always enabled. */
public final class Invariant {

  private Invariant() {}

  /**
   * Throws an exception if an invariant does not hold.
   *
   * @param condition the invariant, evaluated by the caller
   * @param message statement of the invariant, not null
   * @throws InvariantException if the condition is false
   */
  public static void require(boolean condition, String message) {
    if (!condition) {
      throw new InvariantException(message);
    }
  }
}
