package org.arbutusspar.ctl;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.concurrent.CompletionException;
import org.arbutusspar.io.StepException;

/** Entry point of the operators' command line. */
public final class CtlMain {

  private CtlMain() {}

  /**
   * Runs one command and exits with its exit code.
   *
   * @param args command and its options; none prints the help
   */
  public static void main(String[] args) {
    int code = run(args);
    System.out.flush();
    System.exit(code);
  }

  /** Runs one command and returns its exit code. */
  static int run(String... args) {
    try {
      Object command = cli().parse(args.length == 0 ? new String[] {"help"} : args);
      if (command instanceof CtlCommand ctlCommand) {
        return ctlCommand.run().code();
      }
      ((Runnable) command).run();
      return ExitCode.OK.code();
    } catch (ParseException e) {
      System.err.println("arbutusctl: " + e.getMessage());
      return ExitCode.USAGE.code();
    } catch (CtlException e) {
      System.err.println("arbutusctl: " + e.getMessage());
      return e.exitCode().code();
    } catch (StepException e) {
      System.err.println("arbutusctl: " + e.getMessage());
      return ExitCode.UNREACHABLE.code();
    } catch (CompletionException e) {
      System.err.println("arbutusctl: " + e.getCause().getMessage());
      return ExitCode.UNREACHABLE.code();
    }
  }

  static Cli<Object> cli() {
    CliBuilder<Object> builder = Cli.builder("arbutusctl");
    builder
        .withDescription("Operates arbutusspar deployments")
        .withCommands(
            ValidateCommand.class,
            CheckCommand.class,
            ApplyCommand.class,
            DiffCommand.class,
            ShowCommand.class,
            StatusCommand.class,
            ExplainCommand.class,
            OutcomesCommand.class,
            AddressesCommand.class,
            CallCommand.class,
            LoadCommand.class,
            HashKeyCommand.class,
            Help.class);
    return builder.build();
  }
}
