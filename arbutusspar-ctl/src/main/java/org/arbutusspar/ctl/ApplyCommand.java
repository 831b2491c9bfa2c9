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

/** Publishes a configuration folder to the platform's log. */
@Command(
    name = "apply",
    description =
        "Publish a configuration folder; exit code 1 if another operator changed an object"
            + " concurrently, 2 if the folder holds mistakes")
public final class ApplyCommand extends CtlCommand {

  /** Time that all live instances have to adopt the new revision. */
  private static final long ADOPTION_TIMEOUT_MILLIS = 15_000;

  private static final long POLL_INTERVAL_MILLIS = 100;

  @Arguments(title = "DIR", description = "Configuration folder")
  @Required
  private String folder;

  @Option(name = "--wait", description = "Wait until every live instance has adopted the revision")
  private boolean waitForInstances;

  @Option(
      name = "--author",
      title = "NAME",
      description = "Name of the author, recorded with the change")
  private String author = System.getProperty("user.name", "unknown");

  /** Creates the command; used by the command line parser. */
  public ApplyCommand() {}

  @Override
  ExitCode execute(Output out) {
    FolderResult result = ValidateCommand.readValid(folder);
    try (HttpCaller http = newHttp()) {
      ConfigPublisher publisher = ConfigPublisher.create(http, logUrl());
      List<ObjectEdit> edits =
          ConfigPublisher.editsBetween(publisher.readConfiguration(), result.objects());
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
      if (change.accepted() && waitForInstances) {
        awaitAdoption(http, change.offset(), out);
      }
      return change.accepted() ? ExitCode.OK : ExitCode.FAILED;
    }
  }

  private static String describe(ChangeResult change, int editCount) {
    return change.accepted()
        ? "revision " + change.offset() + ": " + editCount + " objects changed"
        : "rejected at " + change.offset() + ": " + change.reason();
  }

  private void awaitAdoption(HttpCaller http, long revision, Output out) {
    long startNanos = System.nanoTime();
    InstanceClient client = InstanceClient.create(http, instances());
    long endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(ADOPTION_TIMEOUT_MILLIS);
    String behind = "no instance responded";
    while (System.nanoTime() < endNanos) {
      try {
        behind = describeFirstBehind(client.statusOfAll(operatorKey()), revision);
      } catch (CtlException e) {
        behind = e.getMessage();
      }
      if (behind.isEmpty()) {
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        out.line("in force at every live instance after " + millis + " ms");
        return;
      }
      Pause.forMillis(POLL_INTERVAL_MILLIS);
    }
    throw new CtlException(ExitCode.UNREACHABLE, "not in force everywhere: " + behind);
  }

  /** Describes the first instance that does not have the revision; empty if all have it. */
  private static String describeFirstBehind(Map<Endpoint, JsonNode> statuses, long revision) {
    for (Map.Entry<Endpoint, JsonNode> entry : statuses.entrySet()) {
      if (entry.getValue() == null) {
        return entry.getKey() + " does not respond";
      }
      long current = entry.getValue().path("revision").asLong(-1);
      if (current < revision) {
        return entry.getKey() + " has revision " + current;
      }
    }
    return "";
  }
}
