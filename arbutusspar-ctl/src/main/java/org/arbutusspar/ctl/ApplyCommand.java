package org.arbutusspar.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import java.util.Map;
import org.arbutusspar.core.config.ChangeResult;
import org.arbutusspar.core.config.ObjectEdit;
import org.arbutusspar.core.route.Endpoint;
import org.arbutusspar.io.config.FolderResult;
import org.arbutusspar.io.http.HttpCaller;
import org.arbutusspar.io.platform.HttpPlatformLog;

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
      ConfigPublisher publisher = ConfigPublisher.create(HttpPlatformLog.create(http, logUrl()));
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
    long end = start + WAIT_MILLIS * 1_000_000;
    String missing = "no instance answered";
    while (System.nanoTime() < end) {
      try {
        missing = firstBehind(client.statusOfAll(operatorKey()), revision);
      } catch (CtlException e) {
        missing = e.getMessage();
      }
      if (missing.isEmpty()) {
        long millis = (System.nanoTime() - start) / 1_000_000;
        out.line("in force at every live instance after " + millis + " ms");
        return;
      }
      pause();
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

  private static void pause() {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
