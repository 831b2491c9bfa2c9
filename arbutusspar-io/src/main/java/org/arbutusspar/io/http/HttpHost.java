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

/** Serves HTTP on one or more endpoints through Jetty's server. */
public final class HttpHost implements AutoCloseable {

  private static final int MIN_THREADS = 4;
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int ACCEPT_QUEUE_CONNECTIONS = 1_024;
  private static final long IDLE_TIMEOUT_MILLIS = 60_000;
  private static final int SELECTORS_PER_ENDPOINT = 1;

  private final Server server;

  private HttpHost(Server server) {
    this.server = server;
  }

  /**
   * Starts to serve.
   *
   * @param name name of the threads, not null
   * @param endpoints where to listen, at least one, not null
   * @param threads most threads
   * @param handler answers the requests, not null
   * @return the host, to be closed by whoever asked for it
   * @throws StepException if an endpoint cannot be listened on
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

  /** Answers requests. */
  public interface ExchangeHandler {

    /**
     * Answers a request whose body has been read.
     *
     * @param exchange the request, to be answered now or later
     */
    void handle(Exchange exchange);
  }

  /** Passes Jetty's requests on. */
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

  /** Answers what Jetty refuses by itself, without a page in HTML. */
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
