package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLoopTest {

  /**
   * Guards against an instance that stays ready but answers no request: a task exhausted the stack
   * or the heap, which ended the thread that takes all decisions.
   */
  @Test
  void loopContinuesAfterTaskThatThrows() throws InterruptedException {
    CountDownLatch tasks = new CountDownLatch(2);
    try (EventLoop loop = EventLoop.start()) {
      loop.post(EventLoopTest::exhaustStack);
      loop.post(
          () -> {
            throw new OutOfMemoryError("test");
          });
      loop.post(
          () -> {
            throw new IllegalStateException("test");
          });
      loop.post(tasks::countDown);
      loop.after(1, tasks::countDown);
      assertTrue(tasks.await(2, TimeUnit.SECONDS));
    }
  }

  @SuppressWarnings("InfiniteRecursion")
  private static void exhaustStack() {
    exhaustStack();
  }
}
