package org.arbutusspar.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.config.ChangeResult;
import org.arbutusspar.core.config.ObjectEdit;
import org.arbutusspar.io.config.FolderResult;
import org.arbutusspar.io.http.HttpCaller;

/** Publishes a folder. */
@Command(
    name = "apply",
    description =
        "Publish a folder; exit code 1 if another operator changed an object meanwhile,"
            + " 2 if the folder holds mistakes")
public final class ApplyCommand extends CtlCommand {

  private static final long WAIT_MILLIS = 15_000;
  private static final long POLL_MILLIS = 100;

  @Arguments(title = "DIR", description = "The folder")
  @Required
  private String folder;

  @Option(name = "--wait", description = "Wait until every live instance has the revision")
  private boolean wait;

  @Option(name = "--author", title = "NAME", description = "Who publishes, for the record")
  private String author = System.getProperty("user.name", "unknown");

  /** Creates the command; used by the command line parser. */
  public ApplyCommand() {}

  @Override
  ExitCode execute(Output out) {
    FolderResult result = ValidateCommand.readValid(folder);
    try (HttpCaller http = newHttp()) {
      ConfigPublisher publisher = ConfigPublisher.create(http, logUrl());
      List<ObjectEdit> edits = ConfigPublisher.edits(publisher.read(), result.objects());
      if (edits.isEmpty()) {
        out.line("nothing to change");
        return ExitCode.OK;
      }
      ChangeResult change = publisher.publish(author, edits);
      if (out.isJson()) {
        out.json(change);
      } else {
        out.line(describe(change, edits.size()));
      }
      if (change.accepted() && wait) {
        waitForAll(http, change.offset(), out);
      }
      return change.accepted() ? ExitCode.OK : ExitCode.REFUSED;
    }
  }

  private static String describe(ChangeResult change, int edits) {
    return change.accepted()
        ? "revision " + change.offset() + ": " + edits + " objects changed"
        : "rejected at " + change.offset() + ": " + change.reason();
  }

  private void waitForAll(HttpCaller http, long revision, Output out) {
    long start = System.nanoTime();
    InstanceClient client = InstanceClient.create(http, instances());
    long end = start + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
    String missing = "no instance answered";
    while (System.nanoTime() < end) {
      try {
        missing = firstBehind(client.statusOfAll(operatorKey()), revision);
      } catch (CtlException e) {
        missing = e.getMessage();
      }
      if (missing.isEmpty()) {
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        out.line("in force at every live instance after " + millis + " ms");
        return;
      }
      Pause.millis(POLL_MILLIS);
    }
    throw new CtlException(ExitCode.UNREACHABLE, "not in force everywhere: " + missing);
  }

  private static String firstBehind(Map<Endpoint, JsonNode> all, long revision) {
    for (Map.Entry<Endpoint, JsonNode> entry : all.entrySet()) {
      if (entry.getValue() == null) {
        return entry.getKey() + " does not answer";
      }
      long has = entry.getValue().path("revision").asLong(-1);
      if (has < revision) {
        return entry.getKey() + " has revision " + has;
      }
    }
    return "";
  }
}
