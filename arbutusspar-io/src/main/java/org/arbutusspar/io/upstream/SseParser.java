package org.arbutusspar.io.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.arbutusspar.core.request.StageOutputException;

/**
 * Incremental parser of server-sent events. It passes on the value of each data line and ignores
 * all other lines.
 */
final class SseParser {

  private static final int MAX_LINE_BYTES = 1 << 20;
  private static final String DATA_FIELD = "data:";

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final Consumer<String> onData;

  private SseParser(Consumer<String> onData) {
    this.onData = onData;
  }

  static SseParser create(Consumer<String> onData) {
    return new SseParser(onData);
  }

  /**
   * Parses the next part of the stream.
   *
   * @param buffer the part; its bytes are consumed
   * @throws StageOutputException if a line exceeds the maximum length
   */
  void accept(ByteBuffer buffer) throws StageOutputException {
    while (buffer.hasRemaining()) {
      byte character = buffer.get();
      if (character == '\n') {
        endLine();
      } else if (character != '\r') {
        line.write(character);
        if (line.size() > MAX_LINE_BYTES) {
          throw new StageOutputException("line of the event stream is too long");
        }
      }
    }
  }

  private void endLine() {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.startsWith(DATA_FIELD)) {
      onData.accept(text.substring(DATA_FIELD.length()).stripLeading());
    }
  }
}
