package org.arbutusspar.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import org.arbutusspar.core.config.ObjectEdit;
import org.arbutusspar.io.config.FolderResult;
import org.arbutusspar.io.http.HttpCaller;

/** Prints the edits that applying a configuration folder would publish, and publishes nothing. */
@Command(name = "diff", description = "Show what applying a configuration folder would change")
public final class DiffCommand extends CtlCommand {

  @Arguments(title = "DIR", description = "Configuration folder")
  @Required
  private String folder;

  /** Creates the command; used by the command line parser. */
  public DiffCommand() {}

  @Override
  ExitCode execute(Output out) {
    FolderResult result = ValidateCommand.readValid(folder);
    try (HttpCaller http = newHttp()) {
      ConfigPublisher publisher = ConfigPublisher.create(http, logUrl());
      List<ObjectEdit> edits =
          ConfigPublisher.editsBetween(publisher.readConfiguration(), result.objects());
      if (out.isJson()) {
        out.json(edits);
      } else {
        edits.forEach(edit -> out.line(marker(edit) + " " + edit.key()));
        out.line(edits.size() + " objects differ");
      }
      return ExitCode.OK;
    }
  }

  /** Returns {@code +} for a new object, {@code ~} for a changed one, {@code -} for a deletion. */
  private static String marker(ObjectEdit edit) {
    if (edit.object().isEmpty()) {
      return "-";
    }
    return edit.base() == 0 ? "+" : "~";
  }
}
