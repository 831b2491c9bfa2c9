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
  static String of(RequestTrace trace) {
    List<LogLine> own = trace.own();
    if (own.isEmpty()) {
      return "No log names this request: it never reached these instances, or its lines were left"
          + " out under load (see lines-left-out).";
    }
    Optional<LogLine> rejected = trace.last("rejected");
    if (rejected.isPresent()) {
      return "Rejected with %s before anything was done: %s."
          .formatted(rejected.get().field("status"), rejected.get().field("reason"));
    }
    Optional<LogLine> outcome = trace.last("outcome");
    if (outcome.isEmpty()) {
      LogLine last = own.get(own.size() - 1);
      return "The request has no outcome: instance %s ended or lost power after %s at %s."
          .formatted(last.instance(), last.event(), last.time());
    }
    return ofOutcome(trace, outcome.get());
  }

  private static String ofOutcome(RequestTrace trace, LogLine outcome) {
    String reason = outcome.field("reason");
    return switch (outcome.field("outcome")) {
      case "answered" -> answered(trace, outcome);
      case "refused" -> refused(trace, outcome, reason);
      case "failed" -> failed(trace, outcome, reason);
      case "left" ->
          "The client left after %s ms; last step: %s."
              .formatted(outcome.field("ms"), lastStep(trace));
      case "broken" ->
          "The answer had begun and broke off after %s ms: %s at replica %s."
              .formatted(outcome.field("ms"), reason, replica(trace));
      default -> "Ended as %s: %s.".formatted(outcome.field("outcome"), reason);
    };
  }

  private static String answered(RequestTrace trace, LogLine outcome) {
    if (outcome.field("reason").equals("status-200")) {
      return "Answered by replica %s after %s ms; %s."
          .formatted(replica(trace), outcome.field("ms"), longestStep(trace));
    }
    return "Replica %s ran the request and answered %s."
        .formatted(replica(trace), outcome.field("reason"));
  }

  private static String refused(RequestTrace trace, LogLine outcome, String reason) {
    Optional<LogLine> admission = trace.last("admission");
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
          .formatted(outcome.field("ms"), reason.replace("stage-", "a stage ended "), stage(trace));
    }
    return "Refused after %s ms, not run: %s.".formatted(outcome.field("ms"), reason);
  }

  private static String failed(RequestTrace trace, LogLine outcome, String reason) {
    Optional<LogLine> attempt = trace.last("attempt-ended");
    String verdict = attempt.map(line -> line.field("verdict")).orElse("UNKNOWN");
    return ("Failed after %s ms: replica %s had been sent the request and no usable answer came"
            + " (%s, verdict %s), so it may have run.")
        .formatted(outcome.field("ms"), replica(trace), reason, verdict);
  }

  private static String replica(RequestTrace trace) {
    return trace.last("send").map(line -> line.field("replica")).orElse("-");
  }

  private static String stage(RequestTrace trace) {
    return trace
        .last("pieces-taken")
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
    List<LogLine> own = trace.own();
    return own.stream()
        .filter(line -> !line.event().equals("outcome"))
        .reduce((a, b) -> b)
        .map(line -> line.event() + " on " + line.instance())
        .orElse("none");
  }

  /** Names the stage after which most time had passed, if the request had any. */
  private static String longestStep(RequestTrace trace) {
    String longest = "no stages";
    long most = -1;
    long before = 0;
    for (LogLine line : trace.own()) {
      if (line.event().equals("stage-done")) {
        long elapsed = Long.parseLong(line.field("elapsed_ms"));
        if (elapsed - before > most) {
          most = elapsed - before;
          longest = "its longest stage was %s with %d ms".formatted(line.field("stage"), most);
        }
        before = elapsed;
      }
    }
    return longest;
  }
}
