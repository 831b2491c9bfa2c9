package org.arbutusspar.io.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.StepException;
import org.eclipse.jetty.http.UriCompliance;
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

/** HTTP server on one or more endpoints that buffers each request body before it is handled. */
public final class HttpHost implements AutoCloseable {

  private static final int MIN_THREADS = 4;
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int ACCEPT_QUEUE_CONNECTIONS = 1_024;
  private static final long IDLE_TIMEOUT_MILLIS = 60_000;

  /** Number of selectors for each endpoint if there are several; a single endpoint has two. */
  private static final int SELECTORS_PER_ENDPOINT = 1;

  private final Server server;

  private HttpHost(Server server) {
    this.server = server;
  }

  /**
   * Starts a server.
   *
   * @param name name of its threads, not null
   * @param endpoints endpoints to listen on, at least one, not null
   * @param threads maximum number of threads besides two for each endpoint; values below 4 count as
   *     4
   * @param handler handles the requests, not null
   * @return the server, to be closed by the caller
   * @throws StepException if the server cannot listen on an endpoint
   */
  public static HttpHost start(
      String name, List<Endpoint> endpoints, int threads, ExchangeHandler handler) {
    Objects.requireNonNull(handler, "handler");
    QueuedThreadPool pool =
        new QueuedThreadPool(
            Math.max(MIN_THREADS, threads) + 2 * endpoints.size(),
            MIN_THREADS + 2 * endpoints.size());
    pool.setName(name);
    Server server = new Server(pool);
    HttpConfiguration configuration = newConfiguration();
    for (Endpoint endpoint : endpoints) {
      int selectors = endpoints.size() == 1 ? 2 : SELECTORS_PER_ENDPOINT;
      ServerConnector connector =
          new ServerConnector(server, 1, selectors, new HttpConnectionFactory(configuration));
      connector.setHost(endpoint.host());
      connector.setPort(endpoint.port());
      connector.setAcceptQueueSize(ACCEPT_QUEUE_CONNECTIONS);
      connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
      server.addConnector(connector);
    }
    server.setHandler(new BufferingHandler(handler));
    server.setErrorHandler(new JsonErrorHandler());
    try {
      server.start();
    } catch (Exception e) {
      LifeCycle.stop(server);
      throw new StepException("http-listen", endpoints.toString(), e.getMessage(), e);
    }
    return new HttpHost(server);
  }

  private static HttpConfiguration newConfiguration() {
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    configuration.setSendDateHeader(false);
    configuration.setRequestHeaderSize(MAX_HEADER_BYTES);
    configuration.setResponseHeaderSize(MAX_HEADER_BYTES);
    configuration.setUriCompliance(UriCompliance.RFC3986);
    return configuration;
  }

  @Override
  public void close() {
    LifeCycle.stop(server);
  }

  /** Handles requests whose bodies are buffered. */
  public interface ExchangeHandler {

    /**
     * Handles a request.
     *
     * @param exchange the request; the handler may respond after this method has returned
     */
    void handle(Exchange exchange);
  }

  /** Jetty handler that buffers a request and passes it to the {@link ExchangeHandler}. */
  private static final class BufferingHandler extends Handler.Abstract.NonBlocking {
    private final ExchangeHandler handler;

    private BufferingHandler(ExchangeHandler handler) {
      this.handler = handler;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      BodyReader.read(request, response, callback, handler);
      return true;
    }
  }

  /** Responds with JSON, instead of Jetty's HTML page, to requests that Jetty itself rejects. */
  private static final class JsonErrorHandler implements Request.Handler {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      response.getHeaders().put("Content-Type", "application/json");
      byte[] body =
          ("{\"error\":\"status " + response.getStatus() + "\"}").getBytes(StandardCharsets.UTF_8);
      response.write(true, ByteBuffer.wrap(body), callback);
      return true;
    }
  }
}
