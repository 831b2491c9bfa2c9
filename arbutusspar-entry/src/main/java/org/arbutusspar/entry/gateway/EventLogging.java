package org.arbutusspar.entry.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.LoggerConfig;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;

/**
 * Log4j configuration of an instance on the platform. Lines are written to standard output by a
 * separate thread through a bounded queue; when the queue is full, lines are dropped, so that
 * logging does not block. The configuration is built in code because reading a file and searching
 * for plug-ins would take a quarter of a second of processor time at each start.
 */
final class EventLogging extends AbstractConfiguration {

  /** Capacity of the queue, in lines. */
  private static final int MAX_QUEUED_LINES = 4_096;

  /** Maximum time for writing the queued lines at shutdown, in milliseconds. */
  private static final long SHUTDOWN_TIMEOUT_MILLIS = 300;

  /** Maximum number of stack frames that are written for an exception. */
  private static final int MAX_STACK_FRAMES = 12;

  private static final String CONSOLE = "stdout";
  private static final String QUEUE = "async";

  private EventLogging() {
    super(null, ConfigurationSource.NULL_SOURCE);
    setName("platform");
  }

  /** Returns a configuration that is not started. */
  static EventLogging create() {
    return new EventLogging();
  }

  /**
   * Initializes Log4j with this configuration. Must be called before the first logger is created.
   */
  static void install() {
    System.setProperty("log4j2.disableJmx", "true");
    System.setProperty("log4j.shutdownHookEnabled", "false");
    Configurator.initialize(create());
  }

  @Override
  public void initialize() {
    Appender console =
        ConsoleAppender.newBuilder()
            .setName(CONSOLE)
            .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
            .setDirect(true)
            .setLayout(new LineLayout())
            .build();
    addAppender(console);
    Appender queue =
        AsyncAppender.newBuilder()
            .setName(QUEUE)
            .setBlocking(false)
            .setBufferSize(MAX_QUEUED_LINES)
            .setShutdownTimeout(SHUTDOWN_TIMEOUT_MILLIS)
            .setAppenderRefs(new AppenderRef[] {AppenderRef.createAppenderRef(CONSOLE, null, null)})
            .setConfiguration(this)
            .build();
    addAppender(queue);
    LoggerConfig root = getRootLogger();
    root.setLevel(Level.INFO);
    root.addAppender(queue, Level.INFO, null);
    LoggerConfig jetty = new LoggerConfig("org.eclipse.jetty", Level.WARN, true);
    addLogger("org.eclipse.jetty", jetty);
    setState(State.INITIALIZED);
  }

  /** Layout of a line: time, level and message, followed by the stack trace of an exception. */
  private static final class LineLayout extends AbstractStringLayout {
    private LineLayout() {
      super(StandardCharsets.UTF_8);
    }

    @Override
    public String toSerializable(LogEvent event) {
      Instant time = Instant.ofEpochMilli(event.getTimeMillis()).truncatedTo(ChronoUnit.MILLIS);
      StringBuilder line = new StringBuilder("time=").append(time);
      line.append(" level=").append(event.getLevel()).append(' ');
      line.append(event.getMessage().getFormattedMessage()).append('\n');
      if (event.getThrown() != null) {
        StackTraceElement[] trace = event.getThrown().getStackTrace();
        for (int i = 0; i < Math.min(MAX_STACK_FRAMES, trace.length); i++) {
          line.append("  at ").append(trace[i]).append('\n');
        }
      }
      return line.toString();
    }
  }
}
