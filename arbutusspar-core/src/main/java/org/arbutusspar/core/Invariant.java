package org.arbutusspar.core;

/** Checks of what must always hold. They stay on in production. */
public final class Invariant {

  private Invariant() {}

  /**
   * Fails if a condition that must always hold does not.
   *
   * @param condition the condition
   * @param message what must hold, not null
   * @throws InvariantException if the condition is false
   */
  public static void require(boolean condition, String message) {
    if (!condition) {
      throw new InvariantException(message);
    }
  }
}
