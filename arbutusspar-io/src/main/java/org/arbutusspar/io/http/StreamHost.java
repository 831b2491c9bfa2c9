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
 * Serves HTTP through Jetty's server, with requests and answers passed on as they stand and with
 * notice of clients that leave. Endpoints are added one by one, each with a handler of its own.
 */
public final class StreamHost implements AutoCloseable {

  private static final int ACCEPT_QUEUE_CONNECTIONS = 1_024;
  private static final int OUTPUT_BUFFER_BYTES = 8 * 1024;

  /** Limit until the configuration names one; clients give up on an unread request sooner. */
  private static final long DEFAULT_HEADER_TIMEOUT_MILLIS = 10_000;

  private final Server server;
  private final HttpConfiguration configuration = newConfiguration();
  private volatile long headerTimeoutMillis = DEFAULT_HEADER_TIMEOUT_MILLIS;

  private StreamHost(Server server) {
    this.server = server;
  }

  /**
   * Returns a host that is not started.
   *
   * @param pool its threads, not null
   * @return the host, to be closed by whoever asked for it
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
    configuration.setUriCompliance(UriCompliance.UNSAFE); // targets are passed on as they stand
    return configuration;
  }

  /** Sets the most bytes of a request's header for connections made from now on. */
  public void maxHeaderBytes(int bytes) {
    configuration.setRequestHeaderSize(bytes);
    configuration.setResponseHeaderSize(bytes);
  }

  /** Sets the longest time that a client may take to send a request's header. */
  public void headerTimeoutMillis(long millis) {
    headerTimeoutMillis = millis;
  }

  /** Sets the longest time that a connection stays idle, for connections made from now on. */
  public void idleTimeoutMillis(long millis) {
    for (var connector : server.getConnectors()) {
      ((ServerConnector) connector).setIdleTimeout(millis);
    }
  }

  /**
   * Adds an endpoint.
   *
   * @param endpoint where to listen, not null
   * @param handler answers its requests, not null
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
   * Starts to listen.
   *
   * @throws StepException if an endpoint cannot be listened on
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
   * Watches the connection of a request.
   *
   * @param request the request, not null
   * @param action run at most once, when the client has closed the connection
   */
  public static void onDisconnect(Request request, Runnable action) {
    if (request.getConnectionMetaData().getConnection().getEndPoint()
        instanceof DisconnectDetectingEndPoint endPoint) {
      endPoint.onDisconnect(action);
    }
  }

  /**
   * Stops watching the connection of a request.
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
   * Resets the connection of a request, so that no answer on it looks whole.
   *
   * @param request the request, not null
   * @param cause why, not null
   */
  public static void reset(Request request, Throwable cause) {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    if (endPoint instanceof DisconnectDetectingEndPoint detecting) {
      detecting.resetOnClose();
    }
    endPoint.close(cause);
  }

  /** Answers requests of an endpoint. */
  public interface StreamHandler {

    /**
     * Answers a request now or later, without blocking.
     *
     * @param request the request
     * @param response its answer
     * @param callback to be completed with the answer
     */
    void handle(Request request, Response response, Callback callback);
  }

  /** Passes requests on to the handler of their endpoint. */
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

  /** Answers what Jetty refuses by itself without a body. */
  private static final class EmptyErrorHandler implements Request.Handler {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      callback.succeeded();
      return true;
    }
  }

  /** Makes watched end points. */
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
