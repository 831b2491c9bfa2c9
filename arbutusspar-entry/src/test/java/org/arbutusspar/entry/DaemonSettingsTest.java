package org.arbutusspar.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.Map;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/**
 * Checks that flags and environment variables are read, and that all invalid settings are reported
 * together and not one at each start.
 */
class DaemonSettingsTest {

  /** Returns a valid flag for each required setting. */
  private static Map<String, String> completeFlags() {
    Map<String, String> flags = new HashMap<>();
    flags.put("instance", "entry-1");
    flags.put("data-centre", "antigua");
    flags.put("listen", "127.0.0.1:7100");
    flags.put("links", "127.0.0.1:7200");
    flags.put("log-url", "http://127.0.0.1:7000");
    flags.put("list-url", "http://127.0.0.1:7000");
    flags.put("secret", "0123456789abcdef");
    flags.put("operator-key-sha256", "0".repeat(64));
    return flags;
  }

  @Test
  void flagTakesPrecedenceOverVariable() throws SettingsException {
    Map<String, String> environment =
        Map.of("ARBUTUSSPAR_INSTANCE", "other", "ARBUTUSSPAR_LEAVE_MS", "10", "PATH", "/bin");
    DaemonSettings settings = DaemonSettings.parse(completeFlags(), environment);
    assertEquals("entry-1", settings.instance().value());
    assertEquals(10, settings.leaveMillis());
  }

  @Test
  void allMistakesAreReportedAtOnce() {
    Map<String, String> flags = completeFlags();
    flags.put("listen", "somewhere");
    flags.put("links", "127.0.0.1:99999");
    flags.put("log-url", "ftp://x");
    flags.remove("data-centre");
    flags.put("leave-ms", "soon");
    Map<String, String> environment =
        Map.of("ARBUTUSSPAR_SECRET", "unused", "ARBUTUSSPAR_COLOUR", "red");
    flags.put("secret", "short");
    SettingsException e =
        assertThrows(SettingsException.class, () -> DaemonSettings.parse(flags, environment));
    Approvals.verify(String.join("\n", e.problems()));
  }

  @Test
  void linkEndpointMustDifferFromCallerEndpoint() {
    Map<String, String> flags = completeFlags();
    flags.put("links", flags.get("listen"));
    SettingsException e =
        assertThrows(SettingsException.class, () -> DaemonSettings.parse(flags, Map.of()));
    assertEquals(1, e.problems().size());
  }
}
