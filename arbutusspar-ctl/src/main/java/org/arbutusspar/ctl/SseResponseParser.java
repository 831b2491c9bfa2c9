package org.arbutusspar.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.arbutusspar.io.codec.Mappers;

/**
 * Parses a response that was streamed as server-sent events: {@code part} events with the texts of
 * the answer, a {@code restart} event whose text replaces all parts before it, and a {@code done}
 * event with the complete result.
 */
final class SseResponseParser {

  private SseResponseParser() {}

  /**
   * Returns the result in the {@code done} event.
   *
   * @param id identifier of the request
   * @param stream the whole response body
   * @param tries number of exchanges with instances so far
   * @return the result, marked as corrupt if the parts do not add up to its answer; outcome {@code
   *     unknown} with reason {@code stream_cut} if the stream has no {@code done} event
   */
  static CallResult parse(String id, String stream, int tries) {
    StringBuilder streamedAnswer = new StringBuilder();
    String event = "";
    String finalData = "";
    for (String line : stream.split("\n")) {
      if (line.startsWith("event: ")) {
        event = line.substring("event: ".length());
      } else if (line.startsWith("data: ")) {
        String data = line.substring("data: ".length());
        if (event.equals("done")) {
          finalData = data;
        } else {
          if (event.equals("restart")) {
            streamedAnswer.setLength(0);
          }
          streamedAnswer.append(partText(data));
        }
      }
    }
    if (finalData.isEmpty()) {
      return new CallResult(id, CallResult.UNKNOWN, "stream_cut", Optional.empty(), tries, false);
    }
    CallResult result = CallerClient.ResponseParser.fromJson(id, finalData, tries, false);
    String answer = result.body().map(b -> b.path("answer").asText()).orElse("");
    boolean corrupt = result.isAnswered() && !answer.contentEquals(streamedAnswer);
    return new CallResult(
        result.id(), result.outcome(), result.reason(), result.body(), tries, corrupt);
  }

  private static String partText(String data) {
    try {
      return Mappers.json().readTree(data).path("text").asText();
    } catch (JsonProcessingException e) {
      return "";
    }
  }
}
