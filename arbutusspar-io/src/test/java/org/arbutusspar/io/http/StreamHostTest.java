package org.arbutusspar.io.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.arbutusspar.core.balancing.Endpoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards that a server knows of a client's disconnect before it spends work on its request. */
class StreamHostTest {

  private static final long TIMEOUT_SECONDS = 5;
  private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

  private final CountDownLatch handling = new CountDownLatch(1);
  private final CountDownLatch proceed = new CountDownLatch(1);
  private final CompletableFuture<Boolean> disconnected = new CompletableFuture<>();
  private final QueuedThreadPool threads = new QueuedThreadPool(8);
  private StreamHost host;
  private Endpoint endpoint;

  /** Starts a server whose handler waits before it looks at the connection of its request. */
  @BeforeEach
  void startHost() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      endpoint = new Endpoint("127.0.0.1", socket.getLocalPort());
    }
    host = StreamHost.create(threads);
    host.add(endpoint, this::handle);
    host.start();
  }

  @AfterEach
  void closeHost() {
    host.close();
  }

  private void handle(Request request, Response response, Callback callback) {
    handling.countDown();
    try {
      assertTrue(proceed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    disconnected.complete(StreamHost.isDisconnected(request));
    response.setStatus(200);
    response.write(true, ByteBuffer.allocate(0), callback);
  }

  private Socket send(String text) throws IOException, InterruptedException {
    Socket socket = new Socket(endpoint.host(), endpoint.port());
    socket.setSoTimeout(5_000);
    socket.getOutputStream().write(text.getBytes(UTF_8));
    assertTrue(handling.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    return socket;
  }

  private boolean isDisconnected() throws Exception {
    return disconnected.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /**
   * Guards against requests that are sent on after their client has left: the instance had no
   * processor time, and finds the request and its end at once.
   */
  @Test
  void closeBeforeHandlingIsKnownAtOnce() throws Exception {
    send(REQUEST).close();
    Thread.sleep(50);
    proceed.countDown();
    assertTrue(isDisconnected());
  }

  @Test
  void openConnectionIsNotDisconnected() throws Exception {
    try (Socket socket = send(REQUEST)) {
      proceed.countDown();
      assertFalse(isDisconnected());
      assertEquals('H', socket.getInputStream().read());
    }
  }

  /** Guards against losing bytes that the check reads ahead. */
  @Test
  void nextRequestOnConnectionIsNotLost() throws Exception {
    try (Socket socket = send(REQUEST + REQUEST)) {
      proceed.countDown();
      assertFalse(isDisconnected());
      String received = new String(socket.getInputStream().readNBytes(17 * 2), UTF_8);
      assertTrue(received.startsWith("HTTP/1.1 200 OK"), received);
      StringBuilder rest = new StringBuilder(received);
      while (rest.indexOf("HTTP/1.1 200 OK", 1) < 0) {
        int next = socket.getInputStream().read();
        assertTrue(next >= 0, rest.toString());
        rest.append((char) next);
      }
    }
  }
}
