package review;

/** Starts daemon threads whose work may throw. */
final class Threads {

  private Threads() {}

  /** Work that may throw; a failure ends the thread. */
  interface Work {
    void run() throws Exception;
  }

  static Thread start(String name, Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (Exception e) {
                // The peer has closed its connection, or the stand-in is being closed.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleepUntil(long nanos) throws InterruptedException {
    long left = nanos - System.nanoTime();
    if (left > 0) {
      Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
    }
  }
}
