package org.arbutusspar.ctl;

/** Waiting of the command line. */
final class Pause {

  private Pause() {}

  /** Waits for a time, or until the thread is interrupted. */
  static void millis(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
