package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.stream.Collectors;
import org.apache.logging.log4j.core.LoggerContext;
import org.junit.jupiter.api.Test;

class EventLoggingTest {

  private static final String DISPATCHER_THREAD_NAME = "AsyncAppenderEventDispatcher";

  private static Set<Thread> dispatcherThreads() {
    return Thread.getAllStackTraces().keySet().stream()
        .filter(thread -> thread.getName().contains(DISPATCHER_THREAD_NAME))
        .collect(Collectors.toSet());
  }

  /**
   * Guards against a configuration that starts its asynchronous appender twice. The second
   * dispatcher thread then takes the stop marker from the queue in place of the first, which never
   * ends and keeps the process running.
   */
  @Test
  void startsOneDispatcherThreadAndEndsItOnStop() throws InterruptedException {
    final Set<Thread> before = dispatcherThreads();
    LoggerContext context = new LoggerContext("event-logging-test");
    context.start(EventLogging.create());
    context.getLogger("test").info("event=test");
    Set<Thread> started = dispatcherThreads();
    started.removeAll(before);
    assertEquals(1, started.size());
    context.stop();
    for (Thread thread : started) {
      thread.join(2_000);
      assertTrue(!thread.isAlive(), thread.getName() + " is still running after the stop");
    }
  }
}
