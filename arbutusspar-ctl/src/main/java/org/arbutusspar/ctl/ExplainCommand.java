package org.arbutusspar.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Tells from the instances' logs what became of a request. */
@Command(
    name = "explain",
    description = "Merge the logs of instances into one time line of a request and state its cause")
public final class ExplainCommand extends CtlCommand {

  @Option(name = "--id", title = "ID", description = "Identifier of the request")
  @Required
  private String requestId;

  @Arguments(title = "FILE", description = "Logs of instances, one or several in a file")
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
      throw new CtlException(ExitCode.USAGE, "log cannot be read: " + e.getMessage());
    }
  }
}
