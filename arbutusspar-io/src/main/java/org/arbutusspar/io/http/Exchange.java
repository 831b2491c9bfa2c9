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

/** A server request with a buffered body, and the means to respond to it. Thread-safe. */
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

  /** Returns the HTTP method, in upper case. */
  public String method() {
    return request.getMethod();
  }

  /** Returns the decoded path, without the query. */
  public String path() {
    return Request.getPathInContext(request);
  }

  /** Returns the body, decoded from UTF-8; empty if there is none. */
  public String body() {
    return body;
  }

  /**
   * Returns the value of a header field.
   *
   * @param name name of the field, not null
   * @return the value, or empty if the field is absent
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(request.getHeaders().get(name));
  }

  /**
   * Returns the decoded value of a query parameter.
   *
   * @param name name of the parameter, not null
   * @return the value, or empty if the parameter is absent
   */
  public Optional<String> query(String name) {
    Fields fields = Request.extractQueryParameters(request);
    return Optional.ofNullable(fields.getValue(name));
  }

  /** Returns when the connection was established, in milliseconds since the epoch. */
  public long connectedAtMillis() {
    return request.getConnectionMetaData().getConnection().getCreatedTimeStamp();
  }

  /** Returns the IP address of the client. */
  public String remoteHost() {
    return Request.getRemoteAddr(request);
  }

  /** Returns the local endpoint on which the request arrived. */
  public Endpoint local() {
    InetSocketAddress address =
        (InetSocketAddress) request.getConnectionMetaData().getLocalSocketAddress();
    return new Endpoint(address.getAddress().getHostAddress(), address.getPort());
  }

  /**
   * Responds with JSON. Has no effect if the exchange already has a response.
   *
   * @param status status code
   * @param headers further header fields, not null
   * @param json the body, not null
   */
  public void reply(int status, Map<String, String> headers, String json) {
    reply(status, JSON, headers, json);
  }

  /**
   * Responds with a text. Has no effect if the exchange already has a response.
   *
   * @param status status code
   * @param contentType media type of the body, not null
   * @param headers further header fields, not null
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

  /** Closes the connection without a response, unless the exchange already has a response. */
  public void abort() {
    if (answered.compareAndSet(false, true)) {
      request.getConnectionMetaData().getConnection().getEndPoint().close();
      callback.failed(new IOException("aborted"));
    }
  }

  /**
   * Starts a streamed response.
   *
   * @param status status code
   * @param contentType media type, not null
   * @param headers further header fields, not null
   * @return writer of the stream, or empty if the exchange already has a response
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
