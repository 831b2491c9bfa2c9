package org.arbutusspar.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import org.arbutusspar.io.codec.Mappers;
import org.arbutusspar.io.http.Exchange;
import org.arbutusspar.io.http.StreamWriter;
import org.arbutusspar.io.upstream.UpstreamClient;

/** Streams an answer as an engine does: server-sent events, then an end marker. */
final class TokenStream {

  private static final int STATUS_OK = 200;
  private static final int TOKENS_PER_EVENT = 4;
  private static final double CACHED_SHARE = 0.5;

  private final StreamWriter out;
  private final ReplicaStandin replica;
  private final String[] tokens;
  private final boolean cut;
  private int next;

  private TokenStream(StreamWriter out, ReplicaStandin replica, String text, boolean cut) {
    this.out = out;
    this.replica = replica;
    this.tokens = text.split("(?<= )");
    this.cut = cut;
  }

  static void start(
      Exchange exchange,
      ReplicaStandin replica,
      Work work,
      Map<String, String> headers,
      ReplicaStandin.CallFault fault) {
    boolean cut = fault == ReplicaStandin.CallFault.CUT;
    boolean cached =
        exchange.header(UpstreamClient.PREFIX_KEY_HEADER).filter(replica.cache()::use).isPresent();
    double first = replica.millis(replica.kind().millis(0)) * (cached ? CACHED_SHARE : 1);
    replica.after(
        first,
        () -> {
          Optional<StreamWriter> out = exchange.stream(STATUS_OK, "text/event-stream", headers);
          if (out.isEmpty()) {
            replica.end();
            return;
          }
          new TokenStream(out.get(), replica, work.answer(), cut).step();
        });
  }

  private void step() {
    if (cut && next > tokens.length / 2) {
      out.abort();
      replica.end();
      return;
    }
    int end = Math.min(tokens.length, next + TOKENS_PER_EVENT);
    StringBuilder part = new StringBuilder();
    for (int i = next; i < end; i++) {
      part.append(tokens[i]);
    }
    boolean open = out.write(event(part.toString()));
    int written = end - next;
    next = end;
    if (!open) {
      replica.end();
    } else if (next >= tokens.length) {
      out.write("data: [DONE]\n\n");
      out.end();
      replica.end();
    } else {
      double alone = replica.kind().millis(written) - replica.kind().millis(0);
      replica.after(replica.millis(alone), this::step);
    }
  }

  private static String event(String part) {
    ObjectNode event = Mappers.json().createObjectNode();
    event.putArray("choices").addObject().putObject("delta").put("content", part);
    return "data: " + event + "\n\n";
  }
}
