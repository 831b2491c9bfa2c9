package org.arbutusspar.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import org.arbutusspar.io.config.ConfigFolder;
import org.arbutusspar.io.config.FolderResult;

/** Checks a configuration folder, prints its mistakes and publishes nothing. */
@Command(
    name = "validate",
    description = "Check a configuration folder; exit code 2 if it holds mistakes")
public final class ValidateCommand extends CtlCommand {

  @Arguments(title = "DIR", description = "Configuration folder")
  @Required
  private String folder;

  /** Creates the command; used by the command line parser. */
  public ValidateCommand() {}

  @Override
  ExitCode execute(Output out) {
    FolderResult result = ConfigFolder.read(Path.of(folder));
    if (out.isJson()) {
      out.json(result.problems());
    } else {
      result.problems().forEach(problem -> out.line(problem.toString()));
      out.line(
          result.isValid()
              ? result.objects().size() + " objects, no mistakes"
              : result.problems().size() + " mistakes");
    }
    return result.isValid() ? ExitCode.OK : ExitCode.USAGE;
  }

  /**
   * Reads a configuration folder that must be valid; prints its mistakes to standard error.
   *
   * @param folder path of the folder
   * @return the objects in the folder
   * @throws CtlException if the folder holds mistakes
   */
  static FolderResult readValid(String folder) {
    FolderResult result = ConfigFolder.read(Path.of(folder));
    if (!result.isValid()) {
      result.problems().forEach(problem -> System.err.println(problem));
      throw new CtlException(
          ExitCode.USAGE, result.problems().size() + " mistakes, nothing was published");
    }
    return result;
  }
}
