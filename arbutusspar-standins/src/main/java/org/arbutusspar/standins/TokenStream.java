package org.arbutusspar.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.http.Exchange;
import org.arbutusspar.io.http.StreamWriter;
import org.arbutusspar.io.upstream.UpstreamClient;

/**
 * Streams the response of a model engine as server-sent events of a few tokens each, followed by
 * the end marker {@code [DONE]}.
 */
final class TokenStream {

  private static final int STATUS_OK = 200;
  private static final int TOKENS_PER_EVENT = 4;

  /** Factor on the time to the first token if the prompt prefix is in the replica's cache. */
  private static final double CACHED_PREFIX_FACTOR = 0.5;

  private final StreamWriter out;
  private final ReplicaStandin replica;
  private final String[] tokens;

  /** Whether to break the connection after half of the tokens. */
  private final boolean cut;

  private int nextToken;

  private TokenStream(StreamWriter out, ReplicaStandin replica, String text, boolean cut) {
    this.out = out;
    this.replica = replica;
    // Splits after each blank, so that the joined tokens give the text again.
    this.tokens = text.split("(?<= )");
    this.cut = cut;
  }

  /**
   * Starts streaming after the time to the first token. Ends the call at the replica when the
   * stream is complete, cut or closed by the client.
   *
   * @param exchange exchange to respond to
   * @param replica replica that runs the call
   * @param work work of the call; its response body is the text to stream
   * @param headers response headers
   * @param fault fault of the call; only {@code CUT} has an effect here
   */
  static void start(
      Exchange exchange,
      ReplicaStandin replica,
      SimulatedWork work,
      Map<String, String> headers,
      ReplicaStandin.CallFault fault) {
    boolean cut = fault == ReplicaStandin.CallFault.CUT;
    boolean cached =
        exchange
            .header(UpstreamClient.PREFIX_KEY_HEADER)
            .filter(replica.cache()::touch)
            .isPresent();
    double firstTokenMillis =
        replica.currentMillis(replica.kind().durationMillis(0))
            * (cached ? CACHED_PREFIX_FACTOR : 1);
    replica.runAfter(
        firstTokenMillis,
        () -> {
          Optional<StreamWriter> out = exchange.stream(STATUS_OK, "text/event-stream", headers);
          if (out.isEmpty()) {
            replica.endCall();
            return;
          }
          new TokenStream(out.get(), replica, work.responseBody(), cut).writeNextEvent();
        });
  }

  private void writeNextEvent() {
    if (cut && nextToken > tokens.length / 2) {
      out.abort();
      replica.endCall();
      return;
    }
    int end = Math.min(tokens.length, nextToken + TOKENS_PER_EVENT);
    StringBuilder text = new StringBuilder();
    for (int i = nextToken; i < end; i++) {
      text.append(tokens[i]);
    }
    boolean isOpen = out.write(event(text.toString()));
    int written = end - nextToken;
    nextToken = end;
    if (!isOpen) {
      replica.endCall();
    } else if (nextToken >= tokens.length) {
      out.write("data: [DONE]\n\n");
      out.end();
      replica.endCall();
    } else {
      double unloadedMillis =
          replica.kind().durationMillis(written) - replica.kind().durationMillis(0);
      replica.runAfter(replica.currentMillis(unloadedMillis), this::writeNextEvent);
    }
  }

  private static String event(String text) {
    ObjectNode event = Mappers.json().createObjectNode();
    event.putArray("choices").addObject().putObject("delta").put("content", text);
    return "data: " + event + "\n\n";
  }
}
