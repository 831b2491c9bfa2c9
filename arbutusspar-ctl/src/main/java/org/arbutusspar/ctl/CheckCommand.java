package org.arbutusspar.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusspar.core.routing.ConfigurationFinding;
import org.arbutusspar.platform.ConfigurationDifference;
import org.arbutusspar.platform.ConfigurationInspection;
import org.arbutusspar.platform.ConfigurationReader;

/** Checks a configuration of the platform before it is sent, and sends nothing. */
@Command(
    name = "check",
    description =
        "Check a configuration of the platform before it is sent: mistakes, entries without effect,"
            + " contradictory limits; exit code 2 if it holds mistakes")
public final class CheckCommand extends CtlCommand {

  @Option(
      name = "--in-force",
      title = "FILE",
      description = "JSON file with the version in force; shows what differs from it")
  private String inForce;

  @Arguments(title = "FILE", description = "JSON file with the configuration")
  private String file;

  /** Creates the command; used by the command line parser. */
  public CheckCommand() {}

  @Override
  ExitCode execute(Output out) {
    if (file == null) {
      throw new CtlException(ExitCode.USAGE, "FILE is missing");
    }
    byte[] configuration = read(file);
    List<ConfigurationFinding> findings =
        new ArrayList<>(ConfigurationInspection.inspect(configuration));
    List<ConfigurationDifference> differences = List.of();
    if (inForce != null) {
      byte[] before = read(inForce);
      differences = differences(before, configuration);
      checkVersion(before, configuration).ifPresent(findings::add);
    }
    long errors = findings.stream().filter(ConfigurationFinding::isError).count();
    if (out.isJson()) {
      out.json(new Report(findings, differences));
    } else {
      findings.forEach(finding -> out.line(finding.toString()));
      differences.forEach(difference -> out.line(difference.toString()));
      out.line(errors + " mistakes, " + (findings.size() - errors) + " warnings");
    }
    return errors == 0 ? ExitCode.OK : ExitCode.USAGE;
  }

  private static Optional<ConfigurationFinding> checkVersion(byte[] before, byte[] after) {
    long version = ConfigurationReader.version(after);
    long versionInForce = ConfigurationReader.version(before);
    return version > versionInForce
        ? Optional.empty()
        : Optional.of(
            ConfigurationFinding.error(
                "",
                "version "
                    + version
                    + " is not above the version in force, "
                    + versionInForce
                    + ", so that instances ignore it"));
  }

  private static List<ConfigurationDifference> differences(byte[] before, byte[] after) {
    try {
      return ConfigurationDifference.between(before, after);
    } catch (IOException e) {
      throw new CtlException(
          ExitCode.USAGE, "configurations cannot be compared: " + e.getMessage());
    }
  }

  private static byte[] read(String name) {
    try {
      return Files.readAllBytes(Path.of(name));
    } catch (IOException e) {
      throw new CtlException(ExitCode.USAGE, "file '" + name + "' cannot be read");
    }
  }

  /**
   * Result of the command.
   *
   * @param findings what was found in the configuration
   * @param differences what differs from the version in force
   */
  private record Report(
      List<ConfigurationFinding> findings, List<ConfigurationDifference> differences) {}
}
