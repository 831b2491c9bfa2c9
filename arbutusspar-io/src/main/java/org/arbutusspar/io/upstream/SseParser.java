package org.arbutusspar.io.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.arbutusspar.core.request.StageOutputException;

/** Splits a stream of server-sent events into the text of their data lines. */
final class SseParser {

  private static final int MAX_LINE_BYTES = 1 << 20;
  private static final String DATA = "data:";

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final Consumer<String> sink;

  private SseParser(Consumer<String> sink) {
    this.sink = sink;
  }

  static SseParser create(Consumer<String> sink) {
    return new SseParser(sink);
  }

  /**
   * Takes the next part of the stream.
   *
   * @throws StageOutputException if a line is too long
   */
  void accept(ByteBuffer buffer) throws StageOutputException {
    while (buffer.hasRemaining()) {
      byte next = buffer.get();
      if (next == '\n') {
        endLine();
      } else if (next != '\r') {
        line.write(next);
        if (line.size() > MAX_LINE_BYTES) {
          throw new StageOutputException("line of the stream is too long");
        }
      }
    }
  }

  private void endLine() {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.startsWith(DATA)) {
      sink.accept(text.substring(DATA.length()).stripLeading());
    }
  }
}
