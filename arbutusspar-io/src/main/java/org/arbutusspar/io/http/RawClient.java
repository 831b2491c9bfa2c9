package org.arbutusspar.io.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.arbutusspar.io.StepException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** HTTP client that sends calls and delivers responses unchanged. Thread-safe. */
public final class RawClient implements AutoCloseable {

  private static final int MAX_CONNECTIONS_PER_DESTINATION = 1_024;
  private static final int MAX_QUEUED_CALLS_PER_DESTINATION = 4_096;
  private static final int MAX_HEADER_BYTES = 64 * 1024;

  /** Maximum size of a response body that is expected to be small, in bytes. */
  private static final int MAX_SMALL_BODY_BYTES = 256 * 1024;

  private static final long DESTINATION_IDLE_TIMEOUT_MILLIS = 10_000;

  /**
   * Tag of calls whose connection is not reused. Jetty has a connection pool for each tag, so these
   * calls never get a connection on which a late response to an earlier call may arrive.
   */
  private static final String SINGLE_USE = "single-use";

  private final HttpClient client;

  private RawClient(HttpClient client) {
    this.client = client;
  }

  /**
   * Returns a started client.
   *
   * @param bindHost source IP address of its connections; empty for any
   * @param executor runs its I/O and the listeners, not null
   * @param connectTimeoutMillis maximum time to establish a connection, in milliseconds
   * @param idleTimeoutMillis time after which a connection without traffic is closed, in
   *     milliseconds
   * @return the client, to be closed by the caller
   * @throws StepException if the client cannot start
   */
  public static RawClient start(
      String bindHost, Executor executor, long connectTimeoutMillis, long idleTimeoutMillis) {
    ClientConnector connector = new ResetAwareConnector();
    connector.setSelectors(1);
    connector.setSslContextFactory(new NoTls());
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setExecutor(Objects.requireNonNull(executor, "executor"));
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_DESTINATION);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_CALLS_PER_DESTINATION);
    client.setConnectTimeout(connectTimeoutMillis);
    client.setIdleTimeout(idleTimeoutMillis);
    client.setMaxResponseHeadersSize(MAX_HEADER_BYTES);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    client.setDestinationIdleTimeout(DESTINATION_IDLE_TIMEOUT_MILLIS);
    if (!bindHost.isEmpty()) {
      client.setBindAddress(new InetSocketAddress(bindHost, 0));
    }
    try {
      client.start();
    } catch (Exception e) {
      throw new StepException("start", "http-client", "HTTP client did not start", e);
    }
    client.getContentDecoderFactories().clear();
    client.getProtocolHandlers().clear();
    return new RawClient(client);
  }

  /**
   * Sends a call and streams the response to a listener. A call that HTTP cannot express, such as
   * one with a malformed host, is reported to the listener as failed.
   *
   * @param call the call, not null
   * @param listener notified of each event, not null
   * @return handle to cancel the call
   */
  public Cancellation send(RawCall call, RawListener listener) {
    Request request;
    try {
      request = newRequest(call);
    } catch (IllegalArgumentException e) {
      listener.onFailure(e);
      return reason -> {};
    }
    return send(call, request, listener);
  }

  private static Cancellation send(RawCall call, Request request, RawListener listener) {
    request.onRequestBegin(
        started -> {
          if (!listener.beforeSend()) {
            started.abort(new StepException("send", call.endpoint() + "", "revoked", null, false));
          }
        });
    request.onResponseHeaders(
        response ->
            abortOnError(
                response,
                () -> listener.onHeaders(response.getStatus(), fields(response.getHeaders()))));
    request.onResponseContentAsync(new CopyingContentListener(listener));
    request.send(
        result -> {
          if (result.isFailed()) {
            listener.onFailure(result.getFailure());
          } else {
            listener.onSuccess();
          }
        });
    return reason -> request.abort(new StepException("cancel", call.endpoint() + "", reason, null));
  }

  /**
   * Runs a callback of a listener. If it throws, the call fails with that exception; Jetty would
   * log the exception and report the call as successful.
   */
  private static void abortOnError(Response response, Runnable callback) {
    try {
      callback.run();
    } catch (RuntimeException e) {
      response.abort(e);
    }
  }

  /**
   * Sends a call and buffers the whole response, which is expected to be small.
   *
   * @param step name of the operation, used in errors, not null
   * @param call the call, not null
   * @return the response, with any status; completes with a {@link StepException} if there is no
   *     complete response or its body exceeds {@value #MAX_SMALL_BODY_BYTES} bytes
   */
  public CompletableFuture<RawReply> fetch(String step, RawCall call) {
    return fetch(step, call, MAX_SMALL_BODY_BYTES);
  }

  /**
   * Sends a call and buffers the whole response.
   *
   * @param step name of the operation, used in errors, not null
   * @param call the call, not null
   * @param maxBytes maximum size of the body in bytes; the call is cancelled if it is larger
   * @return the response, with any status; completes with a {@link StepException} if there is no
   *     complete response
   */
  public CompletableFuture<RawReply> fetch(String step, RawCall call, int maxBytes) {
    CompletableFuture<RawReply> future = new CompletableFuture<>();
    ResponseCollector collector = new ResponseCollector(step, call, maxBytes, future);
    collector.cancellation = send(call, collector);
    return future;
  }

  private Request newRequest(RawCall call) {
    Request request =
        client
            .newRequest(call.endpoint().host(), call.endpoint().port())
            .method(call.method())
            .path(call.target());
    request.headers(
        headers -> {
          headers.clear();
          call.fields().forEach(field -> headers.add(field.name(), field.value()));
          if (!call.keepConnection()) {
            headers.add(HttpHeader.CONNECTION, "close");
          }
        });
    if (!call.keepConnection()) {
      request.tag(SINGLE_USE);
    }
    if (call.body().length > 0) {
      request.body(new BytesRequestContent((String) null, call.body()));
    }
    if (call.timeoutMillis() > 0) {
      request.timeout(call.timeoutMillis(), TimeUnit.MILLISECONDS);
      request.idleTimeout(2 * call.timeoutMillis(), TimeUnit.MILLISECONDS);
    }
    return request;
  }

  private static List<HeaderField> fields(HttpFields headers) {
    List<HeaderField> fields = new ArrayList<>(headers.size());
    headers.forEach(field -> fields.add(new HeaderField(field.getName(), valueOf(field))));
    return fields;
  }

  private static String valueOf(HttpField field) {
    return field.getValue() == null ? "" : field.getValue();
  }

  @Override
  public void close() {
    LifeCycle.stop(client);
  }

  /** Handle to cancel a call. */
  public interface Cancellation {

    /**
     * Cancels the call and closes its connection.
     *
     * @param reason the reason, passed on in the failure of the call
     */
    void cancel(String reason);
  }

  /**
   * Takes the place of TLS, which is not used: Jetty would load the classes and the trusted
   * certificates at each start, which takes a third of the start time of an instance.
   */
  private static final class NoTls extends SslContextFactory.Client {
    @Override
    protected void doStart() {
      // Loads nothing.
    }
  }

  /** Creates connections of the type {@link ResetAwareEndPoint}. */
  private static final class ResetAwareConnector extends ClientConnector {
    @Override
    protected EndPoint newEndPoint(
        SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
      return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }
  }

  /** Copies the parts of a body, because Jetty reuses the buffers and listeners may keep theirs. */
  private record CopyingContentListener(RawListener listener)
      implements Response.AsyncContentListener {
    @Override
    public void onContent(Response response, Content.Chunk chunk, Runnable demander) {
      ByteBuffer buffer = chunk.getByteBuffer();
      if (!buffer.hasRemaining()) {
        demander.run();
        return;
      }
      ByteBuffer copy = ByteBuffer.allocate(buffer.remaining());
      copy.put(buffer).flip();
      abortOnError(response, () -> listener.onContent(copy, demander));
    }
  }

  /** Buffers a whole response. */
  private static final class ResponseCollector implements RawListener {
    private final String step;
    private final RawCall call;
    private final int maxBytes;
    private final CompletableFuture<RawReply> future;
    private final AtomicBoolean sendStarted = new AtomicBoolean();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile Cancellation cancellation;
    private boolean tooLarge;
    private int status;
    private List<HeaderField> fields = List.of();

    private ResponseCollector(
        String step, RawCall call, int maxBytes, CompletableFuture<RawReply> future) {
      this.step = step;
      this.call = call;
      this.maxBytes = maxBytes;
      this.future = future;
    }

    @Override
    public boolean beforeSend() {
      sendStarted.set(true);
      return true;
    }

    @Override
    public void onHeaders(int code, List<HeaderField> received) {
      status = code;
      fields = received;
    }

    @Override
    public void onContent(ByteBuffer part, Runnable acknowledge) {
      if (body.size() + part.remaining() <= maxBytes) {
        body.write(part.array(), part.arrayOffset() + part.position(), part.remaining());
      } else {
        tooLarge = true;
        if (cancellation != null) {
          cancellation.cancel("response body is larger than " + maxBytes + " bytes");
          return;
        }
      }
      acknowledge.run();
    }

    @Override
    public void onSuccess() {
      if (tooLarge) {
        onFailure(new IOException("response body is larger than " + maxBytes + " bytes"));
        return;
      }
      future.complete(new RawReply(status, fields, body.toByteArray()));
    }

    @Override
    public void onFailure(Throwable cause) {
      String message = String.valueOf(cause.getMessage());
      future.completeExceptionally(
          new StepException(step, call.endpoint() + "", message, cause, sendStarted.get()));
    }
  }
}
