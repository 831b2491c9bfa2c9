package org.arbutusspar.entry;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.arbutusspar.entry.gateway.GatewayMain;
import org.arbutusspar.io.StepException;

/**
 * Command line of the entry daemon. Exit codes: 0 after a graceful shutdown or help, 2 for invalid
 * settings, 3 if the instance cannot start.
 */
@Command(
    name = "arbutusspar",
    description =
        "Runs an entry instance. Each option can be set by an environment variable as well:"
            + " ARBUTUSSPAR_ and its name in upper case, with underscores; an option wins.")
public final class EntryMain {

  /** Argument that runs the instance on the users' platform, with settings from a file. */
  private static final String PLATFORM_COMMAND = "platform";

  /**
   * Argument that starts an instance only to load its classes, so that the JVM can write a class
   * data archive that speeds up later starts.
   */
  private static final String TRAINING_COMMAND = "train-classes";

  private static final int EXIT_INVALID_SETTINGS = 2;
  private static final int EXIT_START_FAILED = 3;

  @AirlineModule private HelpOption<EntryMain> help;

  @Option(name = "--instance", title = "NAME", description = "Name of this instance")
  private String instance;

  @Option(name = "--data-centre", title = "NAME", description = "Data centre it runs in")
  private String dataCentre;

  @Option(name = "--listen", title = "IP:PORT", description = "Where it listens for callers")
  private String listen;

  @Option(
      name = "--links",
      title = "IP:PORT",
      description = "Where it listens for links of other instances")
  private String links;

  @Option(name = "--log-url", title = "URL", description = "The platform's log")
  private String logUrl;

  @Option(name = "--list-url", title = "URL", description = "The platform's list")
  private String listUrl;

  @Option(
      name = "--secret",
      title = "TEXT",
      description =
          "Secret that all instances share, at least 16 bytes; better set by its variable")
  private String secret;

  @Option(
      name = "--operator-key-sha256",
      title = "HEX",
      description = "SHA-256 of the operators' key")
  private String operatorKeySha256;

  @Option(
      name = "--leave-ms",
      title = "MS",
      description = "How long it still accepts requests after SIGTERM, 6000 unless set")
  private String leaveMs;

  /** Creates the command; used by the command line parser. */
  public EntryMain() {}

  /**
   * Runs the program. With valid settings it does not return until the process is terminated by a
   * signal.
   *
   * @param args the command line arguments, not null
   * @throws InterruptedException if the wait is interrupted
   */
  public static void main(String[] args) throws InterruptedException {
    boolean onPlatform = args.length == 1 && args[0].equals(PLATFORM_COMMAND);
    boolean inTraining = args.length == 1 && args[0].equals(TRAINING_COMMAND);
    int code = onPlatform ? GatewayMain.run() : inTraining ? GatewayMain.train() : run(args);
    if (onPlatform) {
      Runtime.getRuntime().halt(code);
    }
    if (code != 0 || inTraining) {
      System.exit(code);
    }
  }

  private static int run(String[] args) throws InterruptedException {
    EntryMain command;
    try {
      command = SingleCommand.singleCommand(EntryMain.class).parse(args);
    } catch (ParseException e) {
      System.err.println("arbutusspar: " + e.getMessage());
      return EXIT_INVALID_SETTINGS;
    }
    if (command.help.showHelpIfRequested()) {
      return 0;
    }
    try {
      command.serve(DaemonSettings.parse(command.flags(), System.getenv()));
      return 0;
    } catch (SettingsException e) {
      e.problems().forEach(problem -> System.err.println("arbutusspar: " + problem));
      return EXIT_INVALID_SETTINGS;
    } catch (StepException e) {
      System.err.println("arbutusspar: " + e.getMessage());
      return EXIT_START_FAILED;
    }
  }

  /** Runs an instance; the signal that terminates the process drains and closes it. */
  private void serve(DaemonSettings settings) throws InterruptedException {
    EntryDaemon daemon = EntryDaemon.start(settings);
    CountDownLatch neverReleased = new CountDownLatch(1);
    Thread shutdown =
        new Thread(
            () -> {
              daemon.drain();
              daemon.close();
              LogManager.shutdown();
            },
            "shutdown");
    Runtime.getRuntime().addShutdownHook(shutdown);
    neverReleased.await();
  }

  private Map<String, String> flags() {
    Map<String, String> flags = new HashMap<>();
    flags.put("instance", instance);
    flags.put("data-centre", dataCentre);
    flags.put("listen", listen);
    flags.put("links", links);
    flags.put("log-url", logUrl);
    flags.put("list-url", listUrl);
    flags.put("secret", secret);
    flags.put("operator-key-sha256", operatorKeySha256);
    flags.put("leave-ms", leaveMs);
    return flags;
  }
}
