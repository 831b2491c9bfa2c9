package org.arbutusspar.ctl;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Log lines that concern one request, from all instances: the lines with its identifier, and the
 * state changes of the same instances while it ran, which may explain its outcome.
 */
final class RequestTrace {

  /** Events that report a change of an instance's state rather than a step of one request. */
  private static final Set<String> STATE_CHANGE_EVENTS =
      Set.of(
          "configuration",
          "fellow-down",
          "fellow-up",
          "lines-left-out",
          "pieces-moved",
          "queue-handed-over",
          "replica-gone",
          "results-orphaned",
          "start",
          "stop",
          "store-lost",
          "store-regained");

  /** Limit of the timeline; a request normally has a few dozen lines. */
  private static final int MAX_TIMELINE_LINES = 1_000;

  private final List<LogLine> requestLines;
  private final List<LogLine> stateChanges;

  private RequestTrace(List<LogLine> requestLines, List<LogLine> stateChanges) {
    this.requestLines = requestLines;
    this.stateChanges = stateChanges;
  }

  /**
   * Reads the lines of a request from log files.
   *
   * @param files the log files, not null; a file named after its instance gives that name to lines
   *     without a collector prefix
   * @param requestId identifier of the request, not null
   * @return the trace, without lines if no file has the identifier
   * @throws IOException if a file cannot be read
   */
  static RequestTrace read(List<Path> files, String requestId) throws IOException {
    List<LogLine> requestLines = new ArrayList<>();
    List<LogLine> stateChanges = new ArrayList<>();
    for (Path file : files) {
      String instance = String.valueOf(file.getFileName()).replaceFirst("\\.[a-z]+$", "");
      try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
        String text = reader.readLine();
        while (text != null) {
          Optional<LogLine> line = LogLine.parse(text, instance);
          line.filter(each -> each.belongsTo(requestId)).ifPresent(requestLines::add);
          line.filter(each -> STATE_CHANGE_EVENTS.contains(each.event()))
              .ifPresent(stateChanges::add);
          text = reader.readLine();
        }
      }
    }
    requestLines.sort(Comparator.comparing(LogLine::time));
    stateChanges.sort(Comparator.comparing(LogLine::time));
    return new RequestTrace(List.copyOf(requestLines), List.copyOf(stateChanges));
  }

  /** Returns the lines that have the identifier of the request, in order of time. */
  List<LogLine> requestLines() {
    return requestLines;
  }

  /**
   * Returns the lines of the request, merged with the state changes that the same instances logged
   * between its first and its last line, in order of time.
   */
  List<LogLine> timeline() {
    if (requestLines.isEmpty()) {
      return requestLines;
    }
    Set<String> instances = new HashSet<>();
    requestLines.forEach(line -> instances.add(line.instance()));
    String firstTime = requestLines.get(0).time();
    String lastTime = requestLines.get(requestLines.size() - 1).time();
    List<LogLine> merged = new ArrayList<>(requestLines);
    for (LogLine line : stateChanges) {
      boolean duringRequest =
          line.time().compareTo(firstTime) >= 0 && line.time().compareTo(lastTime) <= 0;
      if (duringRequest && instances.contains(line.instance())) {
        merged.add(line);
      }
    }
    merged.sort(Comparator.comparing(LogLine::time));
    return merged.size() <= MAX_TIMELINE_LINES ? merged : merged.subList(0, MAX_TIMELINE_LINES);
  }

  /**
   * Returns the last line of the request with an event.
   *
   * @param event name of the event, not null
   * @return the line, or empty if there is none
   */
  Optional<LogLine> lastEvent(String event) {
    return requestLines.stream().filter(line -> line.event().equals(event)).reduce((a, b) -> b);
  }
}
