package org.arbutusspar.io.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.arbutusspar.core.balancing.Endpoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** One request whose body has been read, and its answer. Safe for use by several threads. */
public final class Exchange {

  private static final String JSON = "application/json";

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final String body;
  private final AtomicBoolean answered = new AtomicBoolean();

  private Exchange(Request request, Response response, Callback callback, String body) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.body = body;
  }

  static Exchange create(Request request, Response response, Callback callback, String body) {
    return new Exchange(request, response, callback, body);
  }

  /** Returns the method, in upper case. */
  public String method() {
    return request.getMethod();
  }

  /** Returns the decoded path. */
  public String path() {
    return Request.getPathInContext(request);
  }

  /** Returns the body as text; empty if there is none. */
  public String body() {
    return body;
  }

  /**
   * Returns a header field.
   *
   * @param name its name, not null
   * @return its value, or empty
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(request.getHeaders().get(name));
  }

  /**
   * Returns a parameter of the query.
   *
   * @param name its name, not null
   * @return its value, or empty
   */
  public Optional<String> query(String name) {
    Fields fields = Request.extractQueryParameters(request);
    return Optional.ofNullable(fields.getValue(name));
  }

  /** Returns when the connection was made, milliseconds since the epoch. */
  public long connectedAtMillis() {
    return request.getConnectionMetaData().getConnection().getCreatedTimeStamp();
  }

  /** Returns the IP number that the request came from. */
  public String remoteHost() {
    return Request.getRemoteAddr(request);
  }

  /** Returns the endpoint that the request arrived at. */
  public Endpoint local() {
    InetSocketAddress address =
        (InetSocketAddress) request.getConnectionMetaData().getLocalSocketAddress();
    return new Endpoint(address.getAddress().getHostAddress(), address.getPort());
  }

  /**
   * Answers with JSON. Only the first answer counts.
   *
   * @param status status code
   * @param headers more header fields, not null
   * @param json the body, not null
   */
  public void reply(int status, Map<String, String> headers, String json) {
    reply(status, JSON, headers, json);
  }

  /**
   * Answers. Only the first answer counts.
   *
   * @param status status code
   * @param contentType media type of the body, not null
   * @param headers more header fields, not null
   * @param text the body, not null
   */
  public void reply(int status, String contentType, Map<String, String> headers, String text) {
    if (!answered.compareAndSet(false, true)) {
      return;
    }
    begin(status, contentType, headers);
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    response.getHeaders().put("Content-Length", bytes.length);
    response.write(true, ByteBuffer.wrap(bytes), callback);
  }

  /** Ends the exchange by closing the connection without an answer. */
  public void abort() {
    if (answered.compareAndSet(false, true)) {
      request.getConnectionMetaData().getConnection().getEndPoint().close();
      callback.failed(new IOException("aborted"));
    }
  }

  /**
   * Begins an answer that is a stream.
   *
   * @param status status code
   * @param contentType media type, not null
   * @param headers more header fields, not null
   * @return what writes the stream, or empty if the exchange was answered before
   */
  public Optional<StreamWriter> stream(
      int status, String contentType, Map<String, String> headers) {
    if (!answered.compareAndSet(false, true)) {
      return Optional.empty();
    }
    begin(status, contentType, headers);
    return Optional.of(StreamWriter.create(response, callback));
  }

  private void begin(int status, String contentType, Map<String, String> headers) {
    response.setStatus(status);
    response.getHeaders().put("Content-Type", contentType);
    headers.forEach((name, value) -> response.getHeaders().put(name, value));
  }
}
