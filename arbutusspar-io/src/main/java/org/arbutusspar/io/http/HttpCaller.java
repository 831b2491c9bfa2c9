package org.arbutusspar.io.http;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.arbutusspar.io.StepException;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** HTTP client for calls with JSON bodies. Thread-safe. */
public final class HttpCaller implements AutoCloseable {

  private static final int MAX_CONNECTIONS_PER_DESTINATION = 4_096;
  private static final int MAX_QUEUED_CALLS_PER_DESTINATION = 16_384;
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long IDLE_TIMEOUT_MILLIS = 15_000;
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int MAX_BODY_BYTES = 8 << 20;
  private static final int MIN_THREADS = 4;

  private final HttpClient client;

  private HttpCaller(HttpClient client) {
    this.client = client;
  }

  /**
   * Returns a started client.
   *
   * @param name name of its threads, not null
   * @param bindHost source IP address of its connections; empty for any
   * @param threads maximum number of threads; values below 4 count as 4
   * @return the client, to be closed by the caller
   * @throws StepException if the client cannot start
   */
  public static HttpCaller start(String name, String bindHost, int threads) {
    QueuedThreadPool pool = new QueuedThreadPool(Math.max(MIN_THREADS, threads), MIN_THREADS);
    pool.setName(name);
    pool.setDaemon(true);
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(Math.max(1, Math.min(2, threads / MIN_THREADS)));
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setExecutor(pool);
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_DESTINATION);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_CALLS_PER_DESTINATION);
    client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    client.setMaxResponseHeadersSize(MAX_HEADER_BYTES);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    client.setDestinationIdleTimeout(2 * IDLE_TIMEOUT_MILLIS);
    if (!bindHost.isEmpty()) {
      client.setBindAddress(new InetSocketAddress(bindHost, 0));
    }
    try {
      client.start();
    } catch (Exception e) {
      throw new StepException("start", name, "HTTP client did not start", e);
    }
    client.getContentDecoderFactories().clear();
    client.getProtocolHandlers().clear();
    return new HttpCaller(client);
  }

  /**
   * Makes a call and buffers the whole response.
   *
   * @param step name of the operation, used in errors, not null
   * @param call the call, not null
   * @return the response, with any status; completes with a {@link StepException} if there is no
   *     complete response
   */
  public CompletableFuture<HttpReply> call(String step, HttpCall call) {
    Objects.requireNonNull(step, "step");
    CompletableFuture<HttpReply> future = new CompletableFuture<>();
    Request request = newRequest(call);
    AtomicBoolean sendStarted = new AtomicBoolean();
    request.onRequestBegin(r -> sendStarted.set(true));
    request.timeout(call.timeoutMillis(), TimeUnit.MILLISECONDS);
    request.send(
        new BufferingResponseListener(MAX_BODY_BYTES) {
          @Override
          public void onComplete(Result result) {
            if (result.isFailed()) {
              future.completeExceptionally(
                  failure(step, call.uri(), result.getFailure(), sendStarted.get()));
              return;
            }
            byte[] content = getContent() == null ? new byte[0] : getContent();
            future.complete(
                HttpReply.of(
                    result.getResponse().getStatus(), result.getResponse().getHeaders(), content));
          }
        });
    return future;
  }

  /**
   * Makes a call and streams the response to a listener.
   *
   * @param call the call, not null
   * @param listener notified of each event, on threads of this client, not null
   * @return handle to cancel the call
   */
  public Cancellable stream(HttpCall call, StreamListener listener) {
    Request request = newRequest(call);
    request.timeout(call.timeoutMillis(), TimeUnit.MILLISECONDS);
    request.onRequestBegin(r -> listener.onSendStarted());
    request.onResponseHeaders(
        response -> listener.onHeaders(response.getStatus(), response.getHeaders()));
    request.onResponseContent((response, buffer) -> listener.onContent(buffer));
    request.send(
        result -> {
          if (result.isFailed()) {
            listener.onFailure(result.getFailure());
          } else {
            listener.onSuccess();
          }
        });
    return () -> request.abort(new StepException("cancel", call.uri().getAuthority(), "", null));
  }

  private Request newRequest(HttpCall call) {
    Request request = client.newRequest(call.uri()).method(call.method()).tag(call.pool());
    call.headers().forEach((name, value) -> request.headers(h -> h.put(name, value)));
    if (call.closeAfter()) {
      request.headers(h -> h.put(HttpHeader.CONNECTION, "close"));
    }
    if (!call.body().isEmpty()) {
      request.body(new StringRequestContent("application/json", call.body()));
    }
    return request;
  }

  private static StepException failure(String step, URI uri, Throwable cause, boolean sendStarted) {
    String message = String.valueOf(cause.getMessage());
    return new StepException(step, uri.getAuthority(), message, cause, sendStarted);
  }

  @Override
  public void close() {
    LifeCycle.stop(client);
  }

  /** Handle to cancel a call. */
  public interface Cancellable {

    /** Cancels the call and closes its connection. */
    void cancel();
  }

  /** Receives the events of a call, one after the other. */
  public interface StreamListener {

    /**
     * Called immediately before the first byte is sent. From then on the call may have run at the
     * peer. Not called if no connection could be established.
     */
    void onSendStarted();

    /**
     * Called when the header of the response has arrived.
     *
     * @param status status code
     * @param headers header fields
     */
    void onHeaders(int status, HttpFields headers);

    /**
     * Called for each part of the response body.
     *
     * @param buffer the part; valid only during this call
     */
    void onContent(ByteBuffer buffer);

    /** Called when the response is complete. */
    void onSuccess();

    /**
     * Called when the call has failed or was cancelled.
     *
     * @param cause the cause
     */
    void onFailure(Throwable cause);
  }
}
