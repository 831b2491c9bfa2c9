package org.arbutusspar.ctl;

import java.util.List;
import java.util.Optional;

/** Derives from the log lines of a request one sentence that states why it ended as it did. */
final class RequestCause {

  private RequestCause() {}

  /**
   * Returns the sentence for a request.
   *
   * @param trace log lines of the request, not null
   * @return one sentence
   */
  static String describe(RequestTrace trace) {
    List<LogLine> requestLines = trace.requestLines();
    if (requestLines.isEmpty()) {
      return "No log line has this identifier: the request never reached these instances, or its"
          + " lines were dropped under load (see lines-left-out).";
    }
    Optional<LogLine> rejected = trace.lastEvent("rejected");
    if (rejected.isPresent()) {
      return "Rejected with %s before processing: %s."
          .formatted(rejected.get().field("status"), rejected.get().field("reason"));
    }
    Optional<LogLine> outcome = trace.lastEvent("outcome");
    if (outcome.isEmpty()) {
      LogLine last = requestLines.get(requestLines.size() - 1);
      return ("The request has no outcome: instance %s terminated or lost power after event %s"
              + " at %s.")
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
          "The client disconnected after %s ms; last event: %s."
              .formatted(outcome.field("ms"), describeLastEvent(trace));
      case "broken" ->
          "The response started, then broke off after %s ms: %s at replica %s."
              .formatted(outcome.field("ms"), reason, lastReplica(trace));
      default -> "Ended with outcome %s: %s.".formatted(outcome.field("outcome"), reason);
    };
  }

  private static String describeAnswered(RequestTrace trace, LogLine outcome) {
    if (outcome.field("reason").equals("status-200")) {
      return "Answered by replica %s after %s ms; %s."
          .formatted(lastReplica(trace), outcome.field("ms"), describeLongestStage(trace));
    }
    return "Replica %s ran the request and responded with %s."
        .formatted(lastReplica(trace), outcome.field("reason"));
  }

  private static String describeRejected(RequestTrace trace, LogLine outcome, String reason) {
    Optional<LogLine> admission = trace.lastEvent("admission");
    if (reason.equals("overload") && admission.isPresent()) {
      return ("Rejected at admission, not run: an expected queue wait of %s ms plus %s ms of work"
              + " against a target of %s ms%s.")
          .formatted(
              admission.get().field("wait_ms"),
              admission.get().field("work_ms"),
              admission.get().field("target_ms"),
              admission.get().field("came_back").equals("true") ? " (client retry)" : "");
    }
    if (reason.equals("no_time") && admission.isPresent()) {
      return ("Rejected at admission, not run: %s ms of work plus an expected queue wait of %s ms"
              + " do not fit into the %s ms left until the deadline.")
          .formatted(
              admission.get().field("work_ms"),
              admission.get().field("wait_ms"),
              admission.get().field("left_ms"));
    }
    Optional<LogLine> service = trace.lastEvent("service-admission");
    if (service.isPresent()) {
      return ("Rejected at admission, not run: an expected wait of %s ms at service %s, where %s ms"
              + " were permitted and %s ms left until the deadline%s.")
          .formatted(
              service.get().field("wait_ms"),
              service.get().field("service"),
              service.get().field("max_wait_ms"),
              service.get().field("left_ms"),
              service.get().field("came_back").equals("true") ? " (client retry)" : "");
    }
    Optional<LogLine> limited = trace.lastEvent("rate-limited");
    if (reason.equals("rate-limit") && limited.isPresent()) {
      return ("Rejected after %s ms, not run: all replicas of service %s limit their request rate,"
              + " to %s a second in total, for all instances together.")
          .formatted(
              outcome.field("ms"),
              limited.get().field("service"),
              limited.get().field("per_second"));
    }
    if (reason.startsWith("stage-")) {
      return "Admitted, then rejected after %s ms, not run: %s; %s."
          .formatted(
              outcome.field("ms"),
              reason.replace("stage-", "a stage failed with reason "),
              describeLastBatchedStage(trace));
    }
    return "Rejected after %s ms, not run: %s.".formatted(outcome.field("ms"), reason);
  }

  private static String describeFailed(RequestTrace trace, LogLine outcome, String reason) {
    Optional<LogLine> attempt = trace.lastEvent("attempt-ended");
    String verdict = attempt.map(line -> line.field("verdict")).orElse("UNKNOWN");
    return ("Failed after %s ms: replica %s was sent the request and gave no valid response"
            + " (%s, verdict %s), so the request may have run.")
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
                "last batch was stage %s of service %s, at instance %s with %s pieces waiting"
                    .formatted(
                        line.field("stage"),
                        line.field("service"),
                        line.instance(),
                        line.field("waiting")))
        .orElse("no instance batched its pieces");
  }

  private static String describeLastEvent(RequestTrace trace) {
    List<LogLine> requestLines = trace.requestLines();
    return requestLines.stream()
        .filter(line -> !line.event().equals("outcome"))
        .reduce((a, b) -> b)
        .map(line -> line.event() + " on " + line.instance())
        .orElse("none");
  }

  /**
   * Describes the stage that took longest. A stage's time is the difference between its {@code
   * elapsed_ms} and that of the stage before, since {@code elapsed_ms} counts from the request.
   */
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
              "its longest stage was stage %s with %d ms"
                  .formatted(line.field("stage"), longestMillis);
        }
        previousElapsedMillis = elapsedMillis;
      }
    }
    return longest;
  }
}
