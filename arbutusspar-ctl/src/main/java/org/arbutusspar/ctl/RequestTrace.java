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
  private static final Set<String> STATE_CHANGES =
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

  private final List<LogLine> own;
  private final List<LogLine> stateChanges;

  private RequestTrace(List<LogLine> own, List<LogLine> stateChanges) {
    this.own = own;
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
    List<LogLine> own = new ArrayList<>();
    List<LogLine> stateChanges = new ArrayList<>();
    for (Path file : files) {
      String instance = String.valueOf(file.getFileName()).replaceFirst("\\.[a-z]+$", "");
      try (BufferedReader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
        String text = reader.readLine();
        while (text != null) {
          Optional<LogLine> line = LogLine.parse(text, instance);
          line.filter(each -> each.isOf(requestId)).ifPresent(own::add);
          line.filter(each -> STATE_CHANGES.contains(each.event())).ifPresent(stateChanges::add);
          text = reader.readLine();
        }
      }
    }
    own.sort(Comparator.comparing(LogLine::time));
    stateChanges.sort(Comparator.comparing(LogLine::time));
    return new RequestTrace(List.copyOf(own), List.copyOf(stateChanges));
  }

  /** Returns the request's own lines by time. */
  List<LogLine> own() {
    return own;
  }

  /** Returns the request's lines, and the beliefs that its instances changed meanwhile, by time. */
  List<LogLine> timeLine() {
    if (own.isEmpty()) {
      return own;
    }
    Set<String> instances = new HashSet<>();
    own.forEach(line -> instances.add(line.instance()));
    String first = own.get(0).time();
    String last = own.get(own.size() - 1).time();
    List<LogLine> all = new ArrayList<>(own);
    for (LogLine line : stateChanges) {
      boolean meanwhile = line.time().compareTo(first) >= 0 && line.time().compareTo(last) <= 0;
      if (meanwhile && instances.contains(line.instance())) {
        all.add(line);
      }
    }
    all.sort(Comparator.comparing(LogLine::time));
    return all.size() <= MAX_LINES ? all : all.subList(0, MAX_LINES);
  }

  /** Returns the last line of a kind. */
  Optional<LogLine> last(String event) {
    return own.stream().filter(line -> line.event().equals(event)).reduce((a, b) -> b);
  }
}
