package org.arbutusspar.io.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Buffers the body of a server request up to a maximum size, without blocking. */
public final class BodyCollector {

  private final Request request;
  private final int maxBytes;
  private final IntConsumer onPart;
  private final Consumer<byte[]> onBody;
  private final Runnable onTooLarge;
  private final Consumer<Throwable> onFailure;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  private BodyCollector(
      Request request,
      int maxBytes,
      IntConsumer onPart,
      Consumer<byte[]> onBody,
      Runnable onTooLarge,
      Consumer<Throwable> onFailure) {
    this.request = request;
    this.maxBytes = maxBytes;
    this.onPart = onPart;
    this.onBody = onBody;
    this.onTooLarge = onTooLarge;
    this.onFailure = onFailure;
  }

  /**
   * Reads a body, then runs exactly one of the last three callbacks.
   *
   * @param request the request, not null
   * @param maxBytes maximum size of the body, in bytes
   * @param onPart receives the number of bytes of each part as it is buffered, not null
   * @param onBody receives the whole body, not null
   * @param onTooLarge run if the body is larger than the maximum, not null
   * @param onFailure receives the cause if the body cannot be read, not null
   */
  public static void read(
      Request request,
      int maxBytes,
      IntConsumer onPart,
      Consumer<byte[]> onBody,
      Runnable onTooLarge,
      Consumer<Throwable> onFailure) {
    if (request.getLength() > maxBytes) {
      onTooLarge.run();
      return;
    }
    new BodyCollector(request, maxBytes, onPart, onBody, onTooLarge, onFailure).readAvailable();
  }

  private void readAvailable() {
    while (true) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this::readAvailable);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        onFailure.accept(chunk.getFailure());
        return;
      }
      boolean last = chunk.isLast();
      append(chunk);
      if (bytes.size() > maxBytes) {
        onTooLarge.run();
        return;
      }
      if (last) {
        onBody.accept(bytes.toByteArray());
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
    onPart.accept(part.length);
  }
}
