package org.arbutusspar.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.platform.Listing;
import org.arbutusspar.standins.PlatformStandin;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs commands as the shell does and checks their exit codes and output. */
class CtlMainTest {

  private static final Path EXAMPLES = Path.of("..", "examples");

  @TempDir private Path folder;

  private String printed = "";

  /** Runs a command and stores what it prints in {@code printed}; returns the exit code. */
  private int run(String... args) {
    PrintStream originalOut = System.out;
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
    try {
      return CtlMain.run(args);
    } finally {
      System.setOut(originalOut);
      printed = out.toString(StandardCharsets.UTF_8);
    }
  }

  /** Returns a loopback address that depends on the process, so that parallel runs do not clash. */
  private static Endpoint unusedEndpoint() {
    return new Endpoint("127." + (100 + ProcessHandle.current().pid() % 100) + ".0.2", 22_000);
  }

  @Test
  void examplesAreValid() {
    for (String deployment : new String[] {"cojulun", "trentvale"}) {
      assertEquals(0, run("validate", EXAMPLES.resolve(deployment).resolve("config").toString()));
      assertEquals("16 objects, no mistakes\n", printed);
    }
  }

  @Test
  void invalidInputExitsWithTwoAndPublishesNothing() throws IOException {
    Files.writeString(folder.resolve("a.yaml"), "pipelines: 7\n");
    assertEquals(2, run("validate", folder.toString()));
    assertEquals("a.yaml:1: pipelines: must be a mapping, not a value\n1 mistakes\n", printed);
    assertEquals(2, run("apply", "--log", "http://127.0.0.1:1", folder.toString()));
    assertEquals(2, run("no-such-command"));
    assertEquals(2, run("call", "--instances", "127.0.0.1:1", "--key", "k", "text"));
  }

  @Test
  void checksConfigurationOfThePlatform() throws IOException {
    String valid =
        "{'version':2,'routes':[{'name':'r','host':'h','path_prefix':'/','service':'s',"
            + "'route_type':'idempotent','timeout_ms':1000,'target_latency_ms':200}],"
            + "'services':[{'name':'s'}]}";
    Path before = Files.writeString(folder.resolve("a.json"), valid.replace('\'', '"'));
    Path after =
        Files.writeString(
            folder.resolve("b.json"),
            valid.replace('\'', '"').replace(":2,", ":3,").replace(":200", ":2000"));
    assertEquals(0, run("check", before.toString()));
    assertEquals("0 mistakes, 0 warnings\n", printed);
    assertEquals(0, run("check", "--in-force", before.toString(), after.toString()));
    assertEquals(
        "warning: route r: target latency of 2000 ms is longer than the timeout of 1000 ms\n"
            + "~ version\n~ route r: target_latency_ms\n0 mistakes, 1 warnings\n",
        printed);
    assertEquals(2, run("check", "--in-force", after.toString(), before.toString()));
    assertTrue(printed.contains("version 2 is not above the version in force, 3"), printed);
    assertEquals(0, run("check", "--json", "--in-force", before.toString(), after.toString()));
    assertTrue(printed.contains("\"severity\" : \"WARNING\""), printed);
    assertEquals(2, run("check", folder.resolve("none").toString()));
    assertEquals(2, run("check"));
    assertEquals(0, run("check", "--help"));
  }

  @Test
  void unreachableLogExitsWithThree() {
    String config = EXAMPLES.resolve("cojulun").resolve("config").toString();
    assertEquals(3, run("apply", "--log", "http://127.0.0.1:1", config));
  }

  @Test
  void appliesShowsAndDiffsWhenTheLogLosesResponses() throws IOException {
    Endpoint endpoint = unusedEndpoint();
    String log = "http://" + endpoint;
    String config = EXAMPLES.resolve("trentvale").resolve("config").toString();
    try (PlatformStandin platform = PlatformStandin.start(endpoint, Listing.EMPTY)) {
      assertEquals(0, run("diff", "--log", log, config));
      assertTrue(printed.endsWith("16 objects differ\n"), printed);
      post(log + "/admin/fault?logLosesAnswers=true");
      assertEquals(0, run("apply", "--log", log, config));
      assertTrue(printed.startsWith("revision 1: 16 objects changed"), printed);
      assertEquals(0, run("apply", "--log", log, config));
      assertEquals("nothing to change\n", printed);
      assertEquals(0, run("show", "--log", log));
      assertTrue(printed.contains("service/swap-model"), printed);
      assertEquals(0, run("show", "--json", "--log", log));
    }
  }

  private static void post(String url) throws IOException {
    HttpURLConnection connection = (HttpURLConnection) URI.create(url).toURL().openConnection();
    connection.setRequestMethod("POST");
    assertEquals(200, connection.getResponseCode());
  }
}
