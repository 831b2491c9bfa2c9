package org.arbutusspar.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Prints from the instances' logs how many requests ended in which way. */
@Command(
    name = "outcomes",
    description = "Count from instance logs how requests ended, by route, data centre or reason")
public final class OutcomesCommand extends CtlCommand {

  @Option(
      name = "--by",
      title = "PROPERTY",
      description = "route (the default), service, data-centre, workspace or reason")
  private String by = OutcomeTable.Grouping.ROUTE.optionName();

  @Arguments(
      title = "FILE",
      description = "Log files; one file may hold the lines of one or several instances")
  @Required
  private List<String> files;

  /** Creates the command; used by the command line parser. */
  public OutcomesCommand() {}

  @Override
  ExitCode execute(Output out) {
    OutcomeTable.Grouping grouping =
        OutcomeTable.Grouping.named(by)
            .orElseThrow(
                () -> new CtlException(ExitCode.USAGE, "--by: unknown property '" + by + "'"));
    OutcomeTable table = read();
    if (out.isJson()) {
      out.json(table.counts(grouping));
    } else {
      out.table(table.rows(grouping));
    }
    return ExitCode.OK;
  }

  private OutcomeTable read() {
    try {
      return OutcomeTable.read(files.stream().map(Path::of).toList());
    } catch (IOException e) {
      throw new CtlException(ExitCode.USAGE, "log file cannot be read: " + e.getMessage());
    }
  }
}
