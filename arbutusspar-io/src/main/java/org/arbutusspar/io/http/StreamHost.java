package org.arbutusspar.io.http;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Objects;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.StepException;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * HTTP server for proxying: request targets, header fields and bodies reach the handlers unchanged,
 * and handlers are notified when a client disconnects. Each endpoint has its own handler.
 */
public final class StreamHost implements AutoCloseable {

  private static final int ACCEPT_QUEUE_CONNECTIONS = 1_024;
  private static final int OUTPUT_BUFFER_BYTES = 8 * 1024;

  /**
   * Timeout for receiving a request header, in milliseconds, until {@link #headerTimeoutMillis}
   * sets another. Clients abandon a request that the server has not read before this time.
   */
  private static final long DEFAULT_HEADER_TIMEOUT_MILLIS = 10_000;

  private final Server server;
  private final HttpConfiguration configuration = newConfiguration();
  private volatile long headerTimeoutMillis = DEFAULT_HEADER_TIMEOUT_MILLIS;

  private StreamHost(Server server) {
    this.server = server;
  }

  /**
   * Returns a server that is not started.
   *
   * @param pool thread pool of the server, not null
   * @return the server, to be closed by the caller
   */
  public static StreamHost create(QueuedThreadPool pool) {
    Server server = new Server(Objects.requireNonNull(pool, "pool"));
    server.setErrorHandler(new EmptyErrorHandler());
    return new StreamHost(server);
  }

  private static HttpConfiguration newConfiguration() {
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    configuration.setSendDateHeader(false);
    configuration.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
    configuration.setUriCompliance(
        UriCompliance.UNSAFE); // accepts any target, since it is passed on
    return configuration;
  }

  /**
   * Sets the maximum size of a request or response header. Applies to new connections.
   *
   * @param bytes the maximum size, in bytes
   */
  public void maxHeaderBytes(int bytes) {
    configuration.setRequestHeaderSize(bytes);
    configuration.setResponseHeaderSize(bytes);
  }

  /**
   * Sets the timeout for receiving a complete request header, from its first byte on.
   *
   * @param millis the timeout, in milliseconds
   */
  public void headerTimeoutMillis(long millis) {
    headerTimeoutMillis = millis;
  }

  /**
   * Sets the time after which an idle connection is closed. Applies to new connections.
   *
   * @param millis the timeout, in milliseconds
   */
  public void idleTimeoutMillis(long millis) {
    for (var connector : server.getConnectors()) {
      ((ServerConnector) connector).setIdleTimeout(millis);
    }
  }

  /**
   * Adds an endpoint; to be called before {@link #start}.
   *
   * @param endpoint endpoint to listen on, not null
   * @param handler handles the requests of the endpoint, not null
   */
  public void add(Endpoint endpoint, StreamHandler handler) {
    DisconnectDetectingConnector connector = new DisconnectDetectingConnector(this, handler);
    connector.setHost(endpoint.host());
    connector.setPort(endpoint.port());
    connector.setAcceptQueueSize(ACCEPT_QUEUE_CONNECTIONS);
    connector.setName(endpoint.toString());
    server.addConnector(connector);
  }

  /**
   * Starts to listen on all endpoints.
   *
   * @throws StepException if the server cannot listen on an endpoint
   */
  public void start() {
    server.setHandler(new EndpointDispatcher());
    try {
      server.start();
    } catch (Exception e) {
      LifeCycle.stop(server);
      throw new StepException("http-listen", "local", e.getMessage(), e);
    }
  }

  @Override
  public void close() {
    LifeCycle.stop(server);
  }

  /**
   * Sets an action that runs at most once, when the client closes the connection of a request.
   *
   * @param request the request, not null
   * @param action the action, not null
   */
  public static void onDisconnect(Request request, Runnable action) {
    if (request.getConnectionMetaData().getConnection().getEndPoint()
        instanceof DisconnectDetectingEndPoint endPoint) {
      endPoint.onDisconnect(action);
    }
  }

  /**
   * Returns whether the client has closed the connection of a request, as far as its bytes have
   * reached this machine. Unlike the action of {@link #onDisconnect}, this does not wait for a
   * thread that reads them.
   *
   * @param request the request, not null
   * @return whether the client can no longer receive the response
   */
  public static boolean isDisconnected(Request request) {
    return request.getConnectionMetaData().getConnection().getEndPoint()
            instanceof DisconnectDetectingEndPoint endPoint
        && endPoint.isDisconnected();
  }

  /**
   * Removes the action set by {@link #onDisconnect}.
   *
   * @param request the request, not null
   */
  public static void clearOnDisconnect(Request request) {
    if (request.getConnectionMetaData().getConnection().getEndPoint()
        instanceof DisconnectDetectingEndPoint endPoint) {
      endPoint.clearOnDisconnect();
    }
  }

  /**
   * Closes the connection of a request with a TCP reset, so that the client cannot take a truncated
   * response for a complete one.
   *
   * @param request the request, not null
   * @param cause the reason, not null
   */
  public static void reset(Request request, Throwable cause) {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    if (endPoint instanceof DisconnectDetectingEndPoint detecting) {
      detecting.resetOnClose();
    }
    endPoint.close(cause);
  }

  /** Handles the requests of an endpoint. */
  public interface StreamHandler {

    /**
     * Handles a request without blocking; the response may be sent after this method has returned.
     *
     * @param request the request
     * @param response the response to fill in
     * @param callback to be completed when the response is complete or has failed
     */
    void handle(Request request, Response response, Callback callback);
  }

  /** Jetty handler that passes each request to the handler of its endpoint. */
  private static final class EndpointDispatcher extends Handler.Abstract.NonBlocking {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      DisconnectDetectingConnector connector =
          (DisconnectDetectingConnector) request.getConnectionMetaData().getConnector();
      request.addIdleTimeoutListener(timeout -> false);
      if (request.getConnectionMetaData().getConnection().getEndPoint()
          instanceof DisconnectDetectingEndPoint endPoint) {
        long number = endPoint.onRequestBegin();
        Request.addCompletionListener(request, failure -> endPoint.onRequestEnd(number));
      }
      connector.handler.handle(request, response, callback);
      return true;
    }
  }

  /** Responds without a body to requests that Jetty itself rejects. */
  private static final class EmptyErrorHandler implements Request.Handler {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      callback.succeeded();
      return true;
    }
  }

  /** Listener of one endpoint; its connections detect that the client disconnects. */
  private static final class DisconnectDetectingConnector extends ServerConnector {
    private final StreamHost host;
    private final StreamHandler handler;

    private DisconnectDetectingConnector(StreamHost host, StreamHandler handler) {
      super(host.server, 0, 1, new HttpConnectionFactory(host.configuration));
      this.host = host;
      this.handler = handler;
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(
        SocketChannel channel, ManagedSelector selector, SelectionKey key) throws IOException {
      SocketChannelEndPoint endPoint =
          new DisconnectDetectingEndPoint(
              channel,
              selector,
              key,
              getScheduler(),
              getExecutor(),
              () -> host.headerTimeoutMillis);
      endPoint.setIdleTimeout(getIdleTimeout());
      return endPoint;
    }
  }
}
