package org.arbutusspar.io.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.arbutusspar.core.balancing.Endpoint;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RawClientTest {

  private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

  private ServerSocket server;
  private RawClient client;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
    QueuedThreadPool threads = new QueuedThreadPool(8);
    threads.setStopTimeout(100);
    client = RawClient.start("", threads, 1_000, 2_000);
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    server.close();
  }

  private RawCall call(boolean keepConnection) {
    Endpoint endpoint = new Endpoint("127.0.0.1", server.getLocalPort());
    List<HeaderField> fields = List.of(new HeaderField("Host", endpoint.toString()));
    return new RawCall("GET", endpoint, "/x", fields, new byte[0], 2_000, keepConnection);
  }

  /** Reads the head of a request and writes a text. */
  private static void respond(Socket socket, String text) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) socket.getInputStream().read());
    }
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /**
   * Guards against calls that never end: the listener could not handle a response, and was told
   * that the call had succeeded.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void callWhoseListenerThrowsFails(boolean inHeaders) throws Exception {
    CompletableFuture<Throwable> end = new CompletableFuture<>();
    client.send(call(false), new ThrowingListener(inHeaders, end));
    try (Socket socket = server.accept()) {
      respond(socket, RESPONSE);
      assertEquals(ThrowingListener.FAILURE, end.get(2, TimeUnit.SECONDS));
    }
  }

  /**
   * Guards against calls that take a late response to an earlier call for their own: they were sent
   * on the connection that an earlier call had kept open.
   */
  @Test
  void callOnConnectionOfItsOwnGetsNoLateResponse() throws Exception {
    CompletableFuture<RawReply> kept = client.fetch("kept", call(true));
    try (Socket first = server.accept()) {
      respond(first, RESPONSE);
      kept.join();
      final CompletableFuture<RawReply> single = client.fetch("single", call(false));
      server.setSoTimeout(1_000);
      try (Socket second = server.accept()) {
        respond(second, RESPONSE.replace("whole", "other"));
        assertEquals("other", new String(single.join().body(), StandardCharsets.UTF_8));
      }
    }
  }

  /** Guards against callers that wait for a call which failed by an exception instead. */
  @ParameterizedTest
  @ValueSource(strings = {"::::", ":::::::", "::1"})
  void callToUnusableHostFails(String host) {
    List<HeaderField> fields = List.of(new HeaderField("Host", "x"));
    RawCall call = new RawCall("GET", new Endpoint(host, 9), "/x", fields, new byte[0], 500, false);
    CompletableFuture<RawReply> reply = client.fetch("test", call);
    assertThrows(ExecutionException.class, () -> reply.get(2, TimeUnit.SECONDS));
  }

  /** Throws in one of its callbacks, and records how the call ended: null for success. */
  private record ThrowingListener(boolean inHeaders, CompletableFuture<Throwable> end)
      implements RawListener {

    static final RuntimeException FAILURE = new NumberFormatException("spoiled");

    @Override
    public boolean beforeSend() {
      return true;
    }

    @Override
    public void onHeaders(int status, List<HeaderField> fields) {
      if (inHeaders) {
        throw FAILURE;
      }
    }

    @Override
    public void onContent(ByteBuffer part, Runnable acknowledge) {
      if (!inHeaders) {
        throw FAILURE;
      }
      acknowledge.run();
    }

    @Override
    public void onSuccess() {
      end.complete(null);
    }

    @Override
    public void onFailure(Throwable cause) {
      end.complete(cause);
    }
  }
}
