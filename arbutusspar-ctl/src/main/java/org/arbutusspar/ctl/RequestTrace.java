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
 * What the logs of all instances tell of one request: its own lines, and what those instances
 * learned meanwhile that may have to do with it.
 */
final class RequestTrace {

  /** Changes of what an instance believes; they explain what became of the requests beside them. */
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

  /** A request has a few dozen lines; more are left out. */
  private static final int MAX_LINES = 1_000;

  private final List<LogLine> requestLines;
  private final List<LogLine> stateChanges;

  private RequestTrace(List<LogLine> requestLines, List<LogLine> stateChanges) {
    this.requestLines = requestLines;
    this.stateChanges = stateChanges;
  }

  /**
   * Reads logs.
   *
   * @param files the files, not null
   * @param requestId identifier of the request, not null
   * @return the story, without lines if no file names the request
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

  /** Returns the request's own lines by time. */
  List<LogLine> requestLines() {
    return requestLines;
  }

  /** Returns the request's lines, and the beliefs that its instances changed meanwhile, by time. */
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
    return merged.size() <= MAX_LINES ? merged : merged.subList(0, MAX_LINES);
  }

  /** Returns the last line of a kind. */
  Optional<LogLine> lastEvent(String event) {
    return requestLines.stream().filter(line -> line.event().equals(event)).reduce((a, b) -> b);
  }
}
