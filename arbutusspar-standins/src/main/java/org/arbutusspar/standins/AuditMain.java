package org.arbutusspar.standins;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.io.http.HttpCall;
import org.arbutusspar.io.http.HttpCaller;

/**
 * Compares the outcomes that clients received with the ledgers of the upstream stand-ins, and
 * prints for each promise of the system to its clients whether it held. Exits with code 4 if one
 * was broken, with 0 otherwise.
 */
@Command(name = "audit", description = "Compares outcomes with the stand-ins' ledgers")
public final class AuditMain {

  private static final int EXIT_BROKEN = 4;
  private static final long TIMEOUT_MILLIS = 5_000;

  @Option(name = "--deployment", description = "cojulun or trentvale")
  @Required
  private String deployment;

  @Option(name = "--outcomes", description = "File written by arbutusctl load")
  @Required
  private String outcomes;

  @Option(name = "--nothing-cut", description = "Also check that every request got a final outcome")
  private boolean requireFinalOutcomes;

  /** Creates the command; used by the command line parser. */
  public AuditMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   * @throws IOException if the outcomes cannot be read
   */
  public static void main(String[] args) throws IOException {
    boolean held = SingleCommand.singleCommand(AuditMain.class).parse(args).run();
    System.exit(held ? 0 : EXIT_BROKEN);
  }

  private boolean run() throws IOException {
    Topology topology = Topology.of(deployment);
    Map<String, Integer> runs = new LinkedHashMap<>();
    int callsAfterLeaving = 0;
    try (HttpCaller http = HttpCaller.start("audit", "", 1)) {
      // One process serves all replicas of a data centre, and each of them returns its whole
      // ledger.
      for (DataCentre dataCentre : topology.dataCentres()) {
        ListedReplica replica =
            topology.replicas().stream()
                .filter(r -> r.dataCentre().equals(dataCentre))
                .findFirst()
                .orElseThrow();
        addRuns(get(http, replica, "/admin/ledger"), runs);
        callsAfterLeaving += Integer.parseInt(get(http, replica, "/admin/late").trim());
      }
    }
    List<Promise> promises = check(Files.readAllLines(Path.of(outcomes)), runs);
    promises.add(new Promise("a leaving replica gets no call after 5 s", callsAfterLeaving, 0));
    promises.forEach(System.out::println);
    return promises.stream().allMatch(p -> p.broken() == 0);
  }

  private static String get(HttpCaller http, ListedReplica replica, String path) {
    URI uri = URI.create("http://" + replica.endpoint() + path);
    return http.call("audit", HttpCall.get(uri, TIMEOUT_MILLIS)).join().body();
  }

  /** Adds the lines of a ledger, each a number of runs and a key, to the runs by key. */
  private static void addRuns(String ledger, Map<String, Integer> runs) {
    ledger
        .lines()
        .forEach(
            line -> {
              int space = line.indexOf(' ');
              int count = Integer.parseInt(line.substring(0, space));
              runs.merge(line.substring(space + 1), count, Integer::sum);
            });
  }

  /**
   * Checks the promises that concern single requests.
   *
   * @param lines one line for each request: its outcome, its idempotency key and its kind,
   *     separated by blanks; the kind {@code once} marks a non-repeatable request to a plain
   *     service
   * @param runs number of runs by idempotency key, from all ledgers
   * @return the results
   */
  private List<Promise> check(List<String> lines, Map<String, Integer> runs) {
    int nonRepeatable = 0;
    int ranTwice = 0;
    int answeredNonRepeatable = 0;
    int answeredButNotRun = 0;
    int reportedNotRun = 0;
    int reportedNotRunButRan = 0;
    int withoutFinalOutcome = 0;
    for (String line : lines) {
      String[] fields = line.split(" ");
      int count = runs.getOrDefault(fields[1], 0);
      boolean isNonRepeatable = fields[2].equals("once");
      nonRepeatable += isNonRepeatable ? 1 : 0;
      ranTwice += isNonRepeatable && count > 1 ? 1 : 0;
      if (fields[0].equals("answered") && isNonRepeatable) {
        answeredNonRepeatable++;
        answeredButNotRun += count == 1 ? 0 : 1;
      }
      if (fields[0].equals("not_run")) {
        reportedNotRun++;
        reportedNotRunButRan += count > 0 ? 1 : 0;
      }
      withoutFinalOutcome += fields[0].equals("unreachable") || fields[0].equals("unknown") ? 1 : 0;
    }
    List<Promise> promises = new ArrayList<>();
    promises.add(
        new Promise("a non-repeatable request runs at most once", ranTwice, nonRepeatable));
    promises.add(
        new Promise(
            "an answered non-repeatable request ran", answeredButNotRun, answeredNonRepeatable));
    promises.add(
        new Promise(
            "a request reported as not run did not run", reportedNotRunButRan, reportedNotRun));
    if (requireFinalOutcomes) {
      promises.add(
          new Promise("every request got a final outcome", withoutFinalOutcome, lines.size()));
    }
    return promises;
  }

  /**
   * Result of checking one promise.
   *
   * @param text the promise
   * @param broken number of cases in which it was broken
   * @param cases number of cases that were checked; 0 if they are not counted
   */
  private record Promise(String text, int broken, int cases) {
    @Override
    public String toString() {
      String verdict = broken == 0 ? "held" : "BROKEN " + broken + " times";
      return "promise: " + text + ": " + verdict + (cases > 0 ? " (" + cases + " cases)" : "");
    }
  }
}
