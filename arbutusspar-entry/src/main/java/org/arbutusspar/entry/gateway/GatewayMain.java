package org.arbutusspar.entry.gateway;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.StepException;
import org.arbutusspar.platform.PlatformSettings;
import org.arbutusspar.platform.SettingsException;
import org.arbutusspar.platform.SettingsFile;
import sun.misc.Signal;

/**
 * Runs an entry instance on the platform as a process. Exit codes: 0 after a graceful shutdown, 2
 * if the settings are invalid, 3 if the instance cannot start.
 */
public final class GatewayMain {

  private static final int EXIT_INVALID_SETTINGS = 2;
  private static final int EXIT_START_FAILED = 3;
  private static final String DEFAULT_PATH = "/etc/arbutusspar/settings.conf";

  private GatewayMain() {}

  /**
   * Runs an instance until the signal TERM or INT has shut it down. The signal HUP checks the
   * settings file again.
   *
   * @return exit code of the process
   * @throws InterruptedException if the wait is interrupted
   */
  public static int run() throws InterruptedException {
    EventLogging.install();
    String path = System.getenv().getOrDefault(SettingsFile.PATH_VARIABLE, DEFAULT_PATH);
    EventLog log = EventLog.create(10);
    PlatformSettings settings;
    try {
      settings = SettingsFile.read(Path.of(path));
    } catch (SettingsException e) {
      e.problems().forEach(problem -> log.write("settings-mistake", "problem", problem));
      return EXIT_INVALID_SETTINGS;
    }
    try (Gateway gateway = Gateway.start(settings)) {
      Signal.handle(new Signal("TERM"), signal -> gateway.leave("TERM"));
      Signal.handle(new Signal("INT"), signal -> gateway.leave("INT"));
      AtomicReference<PlatformSettings> current = new AtomicReference<>(settings);
      Signal.handle(new Signal("HUP"), signal -> reload(Path.of(path), current, log));
      gateway.await();
    } catch (StepException e) {
      log.write("start-failed", "step", e.step(), "peer", e.peer(), "error", e.getMessage());
      return EXIT_START_FAILED;
    } finally {
      LogManager.shutdown();
    }
    return 0;
  }

  /**
   * Runs an instance briefly on loopback, so that the JVM can write an archive of its classes when
   * the process exits.
   *
   * @return exit code of the process
   * @throws InterruptedException if a wait is interrupted
   */
  public static int train() throws InterruptedException {
    EventLogging.install();
    try {
      ClassTraining.run();
      return 0;
    } catch (IOException | RuntimeException e) {
      EventLog.create(10).write("training-failed", "error", e);
      return EXIT_START_FAILED;
    }
  }

  /**
   * Reads the settings file again, and logs its mistakes or whether the settings have changed.
   * Changed settings take effect only at the next start.
   */
  private static void reload(Path path, AtomicReference<PlatformSettings> current, EventLog log) {
    try {
      PlatformSettings reloaded = SettingsFile.read(path);
      boolean unchanged = reloaded.equals(current.getAndSet(reloaded));
      log.write("reload", "changed", !unchanged);
    } catch (SettingsException e) {
      e.problems().forEach(problem -> log.write("settings-mistake", "problem", problem));
    }
  }
}
