package org.arbutusspar.ctl;

/** Sleeps without a checked exception. */
final class Pause {

  private Pause() {}

  /**
   * Sleeps for a time. If the thread is interrupted, returns at once and keeps the interrupt flag.
   *
   * @param durationMillis time in milliseconds
   */
  static void forMillis(long durationMillis) {
    try {
      Thread.sleep(durationMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
