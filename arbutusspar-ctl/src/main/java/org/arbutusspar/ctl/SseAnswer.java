package org.arbutusspar.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.arbutusspar.io.codec.Mappers;

/** Reads a streamed answer: parts, perhaps a restart, and the final word. */
final class SseAnswer {

  private SseAnswer() {}

  /** Returns the final word; a stream without one is no answer. */
  static CallResult parse(String id, String stream, int tries) {
    StringBuilder parts = new StringBuilder();
    String event = "";
    String last = "";
    for (String line : stream.split("\n")) {
      if (line.startsWith("event: ")) {
        event = line.substring("event: ".length());
      } else if (line.startsWith("data: ")) {
        String data = line.substring("data: ".length());
        if (event.equals("done")) {
          last = data;
        } else {
          if (event.equals("restart")) {
            parts.setLength(0);
          }
          parts.append(text(data));
        }
      }
    }
    if (last.isEmpty()) {
      return new CallResult(id, CallResult.UNKNOWN, "stream_cut", Optional.empty(), tries, false);
    }
    CallResult result = CallerClient.CallReplies.fromJson(id, last, tries, false);
    String answer = result.body().map(b -> b.path("answer").asText()).orElse("");
    boolean broken = result.isAnswered() && !answer.contentEquals(parts);
    return new CallResult(
        result.id(), result.outcome(), result.reason(), result.body(), tries, broken);
  }

  private static String text(String data) {
    try {
      return Mappers.json().readTree(data).path("text").asText();
    } catch (JsonProcessingException e) {
      return "";
    }
  }
}
