package org.arbutusspar.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Prints from the instances' logs the timeline of one request and the cause of its outcome. */
@Command(
    name = "explain",
    description =
        "Merge instance logs into the timeline of one request and state the cause of its outcome")
public final class ExplainCommand extends CtlCommand {

  @Option(name = "--id", title = "ID", description = "Identifier of the request")
  @Required
  private String requestId;

  @Arguments(
      title = "FILE",
      description = "Log files; one file may hold the lines of one or several instances")
  @Required
  private List<String> files;

  /** Creates the command; used by the command line parser. */
  public ExplainCommand() {}

  @Override
  ExitCode execute(Output out) {
    RequestTrace trace = readTrace();
    String cause = RequestCause.describe(trace);
    if (out.isJson()) {
      out.json(Map.of("id", requestId, "cause", cause, "lines", trace.timeline()));
    } else {
      trace.timeline().forEach(line -> out.line(line.toString()));
      out.line(cause);
    }
    return trace.requestLines().isEmpty() ? ExitCode.FAILED : ExitCode.OK;
  }

  private RequestTrace readTrace() {
    try {
      return RequestTrace.read(files.stream().map(Path::of).toList(), requestId);
    } catch (IOException e) {
      throw new CtlException(ExitCode.USAGE, "log file cannot be read: " + e.getMessage());
    }
  }
}
