package org.arbutusspar.io.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reads the whole body of a request within a bound. */
public final class BodyCollector {

  private final Request request;
  private final int maxBytes;
  private final Consumer<byte[]> whole;
  private final Runnable tooLarge;
  private final Consumer<Throwable> failed;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  private BodyCollector(
      Request request,
      int maxBytes,
      Consumer<byte[]> whole,
      Runnable tooLarge,
      Consumer<Throwable> failed) {
    this.request = request;
    this.maxBytes = maxBytes;
    this.whole = whole;
    this.tooLarge = tooLarge;
    this.failed = failed;
  }

  /**
   * Reads a body.
   *
   * @param request the request, not null
   * @param maxBytes most bytes
   * @param whole told of the whole body, not null
   * @param tooLarge run if there are more bytes, not null
   * @param failed told if the body cannot be read, not null
   */
  public static void read(
      Request request,
      int maxBytes,
      Consumer<byte[]> whole,
      Runnable tooLarge,
      Consumer<Throwable> failed) {
    if (request.getLength() > maxBytes) {
      tooLarge.run();
      return;
    }
    new BodyCollector(request, maxBytes, whole, tooLarge, failed).readOn();
  }

  private void readOn() {
    while (true) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this::readOn);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        failed.accept(chunk.getFailure());
        return;
      }
      boolean last = chunk.isLast();
      append(chunk);
      if (bytes.size() > maxBytes) {
        tooLarge.run();
        return;
      }
      if (last) {
        whole.accept(bytes.toByteArray());
        return;
      }
    }
  }

  private void append(Content.Chunk chunk) {
    ByteBuffer buffer = chunk.getByteBuffer();
    byte[] part = new byte[buffer.remaining()];
    buffer.get(part);
    chunk.release();
    bytes.writeBytes(part);
  }
}
