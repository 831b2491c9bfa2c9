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
 * The configuration of Log4j on the platform: lines to standard output through a bounded queue; a
 * full queue drops lines. It is made in code, since reading a file and searching for plug-ins takes
 * a quarter of a second of processor time at each start.
 */
final class EventLogging extends AbstractConfiguration {

  private static final int MAX_QUEUED_LINES = 4_096;

  /** Longest wait for queued lines at the end. */
  private static final long SHUTDOWN_TIMEOUT_MILLIS = 300;

  private static final int MAX_STACK_FRAMES = 12;
  private static final String CONSOLE = "stdout";
  private static final String QUEUE = "async";

  private EventLogging() {
    super(null, ConfigurationSource.NULL_SOURCE);
    setName("platform");
  }

  /** Returns the configuration, not started. */
  static EventLogging create() {
    return new EventLogging();
  }

  /** Puts the configuration in force; to be called before the first logger is asked for. */
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

  /** Writes the time, the level and the message of an event. */
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
