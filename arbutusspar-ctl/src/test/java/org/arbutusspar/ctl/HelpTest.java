package org.arbutusspar.ctl;

import com.github.rvesse.airline.help.Help;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/** Compares the help texts with approved files, so that no option changes unnoticed. */
class HelpTest {

  private static String help(List<String> command) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    Help.help(CtlMain.cli().getMetadata(), command, out);
    return out.toString(StandardCharsets.UTF_8);
  }

  @Test
  void listsAllCommands() throws IOException {
    Approvals.verify(help(List.of()));
  }

  @Test
  void describesEveryOptionOfLoad() throws IOException {
    Approvals.verify(help(List.of("load")));
  }

  @Test
  void describesApply() throws IOException {
    Approvals.verify(help(List.of("apply")));
  }
}
