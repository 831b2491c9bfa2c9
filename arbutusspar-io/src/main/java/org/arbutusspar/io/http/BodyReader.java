package org.arbutusspar.io.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Reads the body of a request within a bound, and hands the request on when it is whole. */
final class BodyReader {

  /** Largest accepted body, in bytes. */
  static final int MAX_BODY_BYTES = 1 << 20;

  private static final int STATUS_TOO_LARGE = 413;
  private static final int STATUS_BAD_REQUEST = 400;

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final HttpHost.ExchangeHandler handler;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  private BodyReader(
      Request request, Response response, Callback callback, HttpHost.ExchangeHandler handler) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.handler = handler;
  }

  static void read(
      Request request, Response response, Callback callback, HttpHost.ExchangeHandler handler) {
    BodyReader reader = new BodyReader(request, response, callback, handler);
    if (request.getLength() > MAX_BODY_BYTES) {
      reader.refuse(STATUS_TOO_LARGE, "body is larger than " + MAX_BODY_BYTES + " bytes");
    } else {
      reader.readOn();
    }
  }

  private void readOn() {
    while (true) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this::readOn);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        callback.failed(chunk.getFailure());
        return;
      }
      boolean last = chunk.isLast();
      append(chunk);
      if (bytes.size() > MAX_BODY_BYTES) {
        refuse(STATUS_TOO_LARGE, "body is larger than " + MAX_BODY_BYTES + " bytes");
        return;
      }
      if (last) {
        handOn();
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

  private void handOn() {
    String body;
    try {
      ByteBuffer buffer = ByteBuffer.wrap(bytes.toByteArray());
      body = StandardCharsets.UTF_8.newDecoder().decode(buffer).toString();
    } catch (CharacterCodingException e) {
      refuse(STATUS_BAD_REQUEST, "body is not UTF-8");
      return;
    }
    handler.handle(Exchange.create(request, response, callback, body));
  }

  private void refuse(int status, String message) {
    response.getHeaders().put("Connection", "close");
    Exchange.create(request, response, callback, "")
        .reply(status, Map.of(), "{\"error\":\"" + message + "\"}");
  }
}
