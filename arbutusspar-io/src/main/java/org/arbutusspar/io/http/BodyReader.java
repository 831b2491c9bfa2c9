package org.arbutusspar.io.http;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Buffers the body of a request and then passes the request to its handler. Rejects a body that is
 * too large or is not UTF-8.
 */
final class BodyReader {

  /** Maximum size of a request body, in bytes. */
  static final int MAX_BODY_BYTES = 1 << 20;

  private static final int STATUS_TOO_LARGE = 413;
  private static final int STATUS_BAD_REQUEST = 400;

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final HttpHost.ExchangeHandler handler;

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
    BodyCollector.read(
        request,
        MAX_BODY_BYTES,
        count -> {},
        reader::decodeAndHandle,
        () -> reader.reject(STATUS_TOO_LARGE, "body is larger than " + MAX_BODY_BYTES + " bytes"),
        callback::failed);
  }

  private void decodeAndHandle(byte[] bytes) {
    String body;
    try {
      body = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      reject(STATUS_BAD_REQUEST, "body is not UTF-8");
      return;
    }
    handler.handle(Exchange.create(request, response, callback, body));
  }

  private void reject(int status, String message) {
    response.getHeaders().put("Connection", "close");
    Exchange.create(request, response, callback, "")
        .reply(status, Map.of(), "{\"error\":\"" + message + "\"}");
  }
}
