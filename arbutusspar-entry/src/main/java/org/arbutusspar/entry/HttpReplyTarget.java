package org.arbutusspar.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.http.Exchange;
import org.arbutusspar.io.http.StreamWriter;

/** A caller that waits for its answer over HTTP, whole or as a stream of server-sent events. */
final class HttpReplyTarget implements ReplyTarget {

  private static final int OK = 200;

  private final Exchange exchange;
  private final boolean plainService;
  private final Map<String, String> streamHeaders;
  private final Runnable onDisconnect;
  private StreamWriter stream;

  private HttpReplyTarget(
      Exchange exchange,
      boolean plainService,
      Map<String, String> streamHeaders,
      Runnable onDisconnect) {
    this.exchange = exchange;
    this.plainService = plainService;
    this.streamHeaders = streamHeaders;
    this.onDisconnect = onDisconnect;
  }

  /**
   * Returns a target.
   *
   * @param exchange the caller's request, not null
   * @param plainService whether the answer is the JSON of a plain service
   * @param streamHeaders header fields of the answer if it is streamed, not null
   * @param onLeft run if a streaming caller goes away, not null
   * @return the target
   */
  static HttpReplyTarget create(
      Exchange exchange,
      boolean plainService,
      Map<String, String> streamHeaders,
      Runnable onDisconnect) {
    return new HttpReplyTarget(exchange, plainService, streamHeaders, onDisconnect);
  }

  @Override
  public void reply(RequestKey key, Outcome outcome) {
    String body = OutcomeJson.body(key, outcome, plainService);
    if (stream == null) {
      exchange.reply(OutcomeJson.status(outcome), OutcomeJson.headers(key, outcome), body);
    } else {
      stream.write("event: done\ndata: " + body + "\n\n");
      stream.end();
    }
  }

  @Override
  public void emit(String text, boolean restart) {
    if (stream == null) {
      stream = exchange.stream(OK, "text/event-stream", streamHeaders).orElse(null);
      if (stream == null) {
        return;
      }
      stream.onFailure(onDisconnect);
    }
    ObjectNode part = Mappers.json().createObjectNode();
    part.put("text", text);
    stream.write((restart ? "event: restart" : "event: part") + "\ndata: " + part + "\n\n");
  }
}
