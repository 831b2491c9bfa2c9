package org.arbutusspar.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.arbutusspar.core.id.RequestKey;
import org.arbutusspar.core.request.Outcome;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.http.Exchange;
import org.arbutusspar.io.http.StreamWriter;

/**
 * Sends the outcome of a request as an HTTP response. The response becomes a stream of server-sent
 * events once a part of the answer is emitted: {@code part} events, a {@code restart} event in
 * place of the first part after a retry, and a {@code done} event with the outcome.
 */
final class HttpReplyTarget implements ReplyTarget {

  private static final int OK = 200;

  private final Exchange exchange;
  private final boolean plainService;
  private final Map<String, String> streamHeaders;
  private final Runnable onDisconnect;

  /** Writer of the stream; null until the first part is emitted. */
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
   * @param exchange exchange with the caller, not null
   * @param plainService whether the answer is a JSON value from a plain service, not a text
   * @param streamHeaders header fields of the response if it is streamed, not null
   * @param onDisconnect runs if a streaming caller disconnects or reads too slowly, not null
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
