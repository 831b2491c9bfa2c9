package org.arbutusspar.ctl;

import com.github.rvesse.airline.annotations.Command;
import java.util.ArrayList;
import java.util.List;
import org.arbutusspar.core.config.ConfigState;
import org.arbutusspar.core.config.VersionedObject;
import org.arbutusspar.io.http.HttpCaller;

/** Prints the objects of the configuration that the platform's log holds, with their revisions. */
@Command(name = "show", description = "Show the configuration on the log")
public final class ShowCommand extends CtlCommand {

  /** Creates the command; used by the command line parser. */
  public ShowCommand() {}

  @Override
  ExitCode execute(Output out) {
    try (HttpCaller http = newHttp()) {
      ConfigState state = ConfigPublisher.create(http, logUrl()).readConfiguration();
      if (out.isJson()) {
        out.json(state);
        return ExitCode.OK;
      }
      List<List<String>> rows = new ArrayList<>();
      rows.add(List.of("OBJECT", "REVISION"));
      for (VersionedObject object : state.objects()) {
        rows.add(List.of(object.object().key().toString(), Long.toString(object.revision())));
      }
      out.table(rows);
      out.line("revision " + state.revision());
      return ExitCode.OK;
    }
  }
}
