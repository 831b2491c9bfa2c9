package org.arbutusspar.ctl;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Counts how requests ended, from the log lines of all instances, in groups such as the requests of
 * a route or of a data centre.
 */
final class OutcomeTable {

  private static final String TOTAL = "total";

  /** How a request ended, as far as its caller is concerned. */
  enum Outcome {
    /** Answered within its target time. */
    IN_TIME,
    /** Answered after its target time. */
    LATE,
    /** Rejected without having run. */
    REFUSED,
    /** Ended by an error. */
    FAILED,
    /** Broken off after the start of its response. */
    BROKEN,
    /** Abandoned by its caller. */
    LEFT,
    /** Not ended in the logs. */
    OPEN
  }

  /** Property by which requests are grouped. */
  enum Grouping {
    /** Route of the request. */
    ROUTE,
    /** Service of the route. */
    SERVICE,
    /** Data centre of the instance that served the request. */
    DATA_CENTRE,
    /** Workspace of the caller. */
    WORKSPACE,
    /** Reason of the outcome. */
    REASON;

    /**
     * Returns a grouping by its name on the command line.
     *
     * @param name the name, in lower case with hyphens, not null
     * @return the grouping, or empty if there is none with this name
     */
    static Optional<Grouping> named(String name) {
      return Arrays.stream(values()).filter(each -> each.optionName().equals(name)).findFirst();
    }

    /** Returns the name on the command line. */
    String optionName() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  private final Map<String, LoggedRequest> requests = new HashMap<>();
  private final Map<String, String> dataCentres = new HashMap<>();

  private OutcomeTable() {}

  /**
   * Reads the requests from log files.
   *
   * @param files the log files, not null; a file named after its instance gives that name to lines
   *     without a collector prefix
   * @return the table
   * @throws IOException if a file cannot be read
   */
  static OutcomeTable read(List<Path> files) throws IOException {
    OutcomeTable table = new OutcomeTable();
    for (Path file : files) {
      String instance = String.valueOf(file.getFileName()).replaceFirst("\\.[a-z]+$", "");
      try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
        String text = reader.readLine();
        while (text != null) {
          LogLine.parse(text, instance).ifPresent(table::add);
          text = reader.readLine();
        }
      }
    }
    return table;
  }

  private void add(LogLine line) {
    switch (line.event()) {
      case "start" -> dataCentres.put(line.instance(), line.field("data_centre"));
      case "request" -> request(line).start = Optional.of(line);
      case "answer-begun" -> request(line).answer = Optional.of(line);
      case "outcome" -> request(line).end = Optional.of(line);
      default -> {
        // Other events do not tell how a request ended.
      }
    }
  }

  private LoggedRequest request(LogLine line) {
    return requests.computeIfAbsent(line.field("id"), id -> new LoggedRequest());
  }

  /**
   * Returns the number of requests with each outcome.
   *
   * @param grouping property by which the requests are grouped, not null
   * @return counts by group, in the order of the names of the groups
   */
  Map<String, Map<Outcome, Integer>> counts(Grouping grouping) {
    Map<String, Map<Outcome, Integer>> counts = new TreeMap<>();
    requests.values().stream()
        .filter(request -> request.start.isPresent())
        .forEach(
            request ->
                counts
                    .computeIfAbsent(group(request, grouping), g -> new EnumMap<>(Outcome.class))
                    .merge(request.outcome(), 1, Integer::sum));
    return counts;
  }

  private String group(LoggedRequest request, Grouping grouping) {
    LogLine start = request.start.orElseThrow();
    return switch (grouping) {
      case ROUTE -> start.field("route");
      case SERVICE -> start.field("service");
      case DATA_CENTRE -> dataCentres.getOrDefault(start.instance(), "-");
      case WORKSPACE -> start.field("workspace");
      case REASON -> request.end.map(end -> end.field("reason")).orElse("-");
    };
  }

  /**
   * Returns the rows of the table to print: a heading, a row for each group, and the sum.
   *
   * @param grouping property by which the requests are grouped, not null
   * @return the rows
   */
  List<List<String>> rows(Grouping grouping) {
    List<List<String>> rows = new ArrayList<>();
    List<String> heading = new ArrayList<>(List.of(grouping.name(), "REQUESTS"));
    Arrays.stream(Outcome.values()).forEach(outcome -> heading.add(outcome.name()));
    rows.add(heading);
    Map<Outcome, Integer> total = new EnumMap<>(Outcome.class);
    counts(grouping)
        .forEach(
            (group, counts) -> {
              rows.add(row(group, counts));
              counts.forEach((outcome, count) -> total.merge(outcome, count, Integer::sum));
            });
    rows.add(row(TOTAL, total));
    return rows;
  }

  private static List<String> row(String group, Map<Outcome, Integer> counts) {
    List<String> row = new ArrayList<>(List.of(group));
    row.add(String.valueOf(counts.values().stream().mapToInt(Integer::intValue).sum()));
    for (Outcome outcome : Outcome.values()) {
      row.add(String.valueOf(counts.getOrDefault(outcome, 0)));
    }
    return row;
  }

  /** The lines of one request that tell how it ended. */
  private static final class LoggedRequest {
    private Optional<LogLine> start = Optional.empty();
    private Optional<LogLine> answer = Optional.empty();
    private Optional<LogLine> end = Optional.empty();

    private Outcome outcome() {
      return switch (end.map(line -> line.field("outcome")).orElse("-")) {
        case "answered" -> isLate() ? Outcome.LATE : Outcome.IN_TIME;
        case "refused" -> Outcome.REFUSED;
        case "failed" -> Outcome.FAILED;
        case "broken" -> Outcome.BROKEN;
        case "left" -> Outcome.LEFT;
        default -> Outcome.OPEN;
      };
    }

    /** Returns whether the response began after the target time; false if one is not logged. */
    private boolean isLate() {
      String target = start.map(line -> line.field("target_ms")).orElse("-");
      String began = answer.map(line -> line.field("ms")).orElse("-");
      return isNumber(target) && isNumber(began) && Long.parseLong(began) > Long.parseLong(target);
    }

    private static boolean isNumber(String text) {
      return text.matches("[0-9]{1,15}");
    }
  }
}
