package org.arbutusspar.ctl;

/** Waiting of the command line. */
final class Pause {

  private Pause() {}

  /** Waits for a time, or until the thread is interrupted. */
  static void forMillis(long durationMillis) {
    try {
      Thread.sleep(durationMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
