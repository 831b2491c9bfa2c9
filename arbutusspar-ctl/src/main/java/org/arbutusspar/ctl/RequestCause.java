package org.arbutusspar.ctl;

import java.util.List;
import java.util.Optional;

/** States in a sentence why a request ended as it did. */
final class RequestCause {

  private RequestCause() {}

  /**
   * Returns the cause.
   *
   * @param trace what the logs tell of the request, not null
   * @return one sentence
   */
  static String describe(RequestTrace trace) {
    List<LogLine> requestLines = trace.requestLines();
    if (requestLines.isEmpty()) {
      return "No log names this request: it never reached these instances, or its lines were left"
          + " out under load (see lines-left-out).";
    }
    Optional<LogLine> rejected = trace.lastEvent("rejected");
    if (rejected.isPresent()) {
      return "Rejected with %s before anything was done: %s."
          .formatted(rejected.get().field("status"), rejected.get().field("reason"));
    }
    Optional<LogLine> outcome = trace.lastEvent("outcome");
    if (outcome.isEmpty()) {
      LogLine last = requestLines.get(requestLines.size() - 1);
      return "The request has no outcome: instance %s ended or lost power after %s at %s."
          .formatted(last.instance(), last.event(), last.time());
    }
    return describeOutcome(trace, outcome.get());
  }

  private static String describeOutcome(RequestTrace trace, LogLine outcome) {
    String reason = outcome.field("reason");
    return switch (outcome.field("outcome")) {
      case "answered" -> describeAnswered(trace, outcome);
      case "refused" -> describeRejected(trace, outcome, reason);
      case "failed" -> describeFailed(trace, outcome, reason);
      case "left" ->
          "The client left after %s ms; last step: %s."
              .formatted(outcome.field("ms"), lastStep(trace));
      case "broken" ->
          "The answer had begun and broke off after %s ms: %s at replica %s."
              .formatted(outcome.field("ms"), reason, lastReplica(trace));
      default -> "Ended as %s: %s.".formatted(outcome.field("outcome"), reason);
    };
  }

  private static String describeAnswered(RequestTrace trace, LogLine outcome) {
    if (outcome.field("reason").equals("status-200")) {
      return "Answered by replica %s after %s ms; %s."
          .formatted(lastReplica(trace), outcome.field("ms"), describeLongestStage(trace));
    }
    return "Replica %s ran the request and answered %s."
        .formatted(lastReplica(trace), outcome.field("reason"));
  }

  private static String describeRejected(RequestTrace trace, LogLine outcome, String reason) {
    Optional<LogLine> admission = trace.lastEvent("admission");
    if (reason.equals("overload") && admission.isPresent()) {
      return ("Refused at once, not run: its stages would have waited about %s ms beside %s ms of"
              + " work, with a target of %s ms%s.")
          .formatted(
              admission.get().field("wait_ms"),
              admission.get().field("work_ms"),
              admission.get().field("target_ms"),
              admission.get().field("came_back").equals("true") ? ", for the second time" : "");
    }
    if (reason.equals("no_time") && admission.isPresent()) {
      return "Refused at once, not run: %s ms of work and %s ms of waiting do not fit into %s ms."
          .formatted(
              admission.get().field("work_ms"),
              admission.get().field("wait_ms"),
              admission.get().field("left_ms"));
    }
    if (reason.startsWith("stage-")) {
      return "Taken, then given up after %s ms, not run: %s; %s."
          .formatted(
              outcome.field("ms"),
              reason.replace("stage-", "a stage ended "),
              describeLastBatchedStage(trace));
    }
    return "Refused after %s ms, not run: %s.".formatted(outcome.field("ms"), reason);
  }

  private static String describeFailed(RequestTrace trace, LogLine outcome, String reason) {
    Optional<LogLine> attempt = trace.lastEvent("attempt-ended");
    String verdict = attempt.map(line -> line.field("verdict")).orElse("UNKNOWN");
    return ("Failed after %s ms: replica %s had been sent the request and no usable answer came"
            + " (%s, verdict %s), so it may have run.")
        .formatted(outcome.field("ms"), lastReplica(trace), reason, verdict);
  }

  private static String lastReplica(RequestTrace trace) {
    return trace.lastEvent("send").map(line -> line.field("replica")).orElse("-");
  }

  private static String describeLastBatchedStage(RequestTrace trace) {
    return trace
        .lastEvent("pieces-taken")
        .map(
            line ->
                "stage %s of service %s, gathered by %s with %s pieces waiting"
                    .formatted(
                        line.field("stage"),
                        line.field("service"),
                        line.instance(),
                        line.field("waiting")))
        .orElse("no instance took its pieces");
  }

  private static String lastStep(RequestTrace trace) {
    List<LogLine> requestLines = trace.requestLines();
    return requestLines.stream()
        .filter(line -> !line.event().equals("outcome"))
        .reduce((a, b) -> b)
        .map(line -> line.event() + " on " + line.instance())
        .orElse("none");
  }

  /** Names the stage after which most time had passed, if the request had any. */
  private static String describeLongestStage(RequestTrace trace) {
    String longest = "no stages";
    long longestMillis = -1;
    long previousElapsedMillis = 0;
    for (LogLine line : trace.requestLines()) {
      if (line.event().equals("stage-done")) {
        long elapsedMillis = Long.parseLong(line.field("elapsed_ms"));
        if (elapsedMillis - previousElapsedMillis > longestMillis) {
          longestMillis = elapsedMillis - previousElapsedMillis;
          longest =
              "its longest stage was %s with %d ms".formatted(line.field("stage"), longestMillis);
        }
        previousElapsedMillis = elapsedMillis;
      }
    }
    return longest;
  }
}
