package org.arbutusspar.entry.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.http.StreamHost;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what an instance holds for clients that read or send slowly. */
class SlowReadersTest extends GatewayRig {

  /** Bytes that an instance may hold: a quarter of the memory in its settings. */
  private static final long MAX_HELD_BYTES = 2_000_000;

  private static final String EVENT = "id: 1\ndata: " + "x".repeat(8_000) + "\n\n";

  /** Many times what the instance may hold, and more than the buffers of the sockets. */
  private static final int EVENTS = 4_000;

  private static final Pattern HELD = Pattern.compile("\narbutusspar_held_bytes ([0-9.E]+)");

  @BeforeEach
  void limitMemory() {
    contended = true;
    memoryBytes = 4 * MAX_HELD_BYTES;
  }

  private static double heldBytes(Instance instance) {
    Matcher matcher = HELD.matcher(new String(instance.gateway().metrics(), UTF_8));
    assertTrue(matcher.find());
    return Double.parseDouble(matcher.group(1));
  }

  private Socket openRequest(Instance instance, String head) throws IOException {
    Socket socket = closeAfterTest(new Socket());
    socket.setReceiveBufferSize(4_096);
    socket.setSoTimeout(5_000);
    Endpoint clients = instance.settings().clients();
    socket.connect(new InetSocketAddress(clients.host(), clients.port()));
    socket
        .getOutputStream()
        .write((head + "\r\nHost: h\r\nApi-Key: key\r\nX-Deadline-Ms: 20000\r\n").getBytes(UTF_8));
    return socket;
  }

  /** Starts a replica that sends a long stream of events as fast as it is read. */
  private void startLongStreams() throws IOException {
    Endpoint endpoint = freeEndpoint(FIRST_ADDRESS);
    QueuedThreadPool threads = new QueuedThreadPool(8);
    threads.setStopTimeout(100);
    StreamHost host = closeAfterTest(StreamHost.create(threads));
    host.add(endpoint, SlowReadersTest::respondAtLength);
    host.start();
    store.putReplica("i-1", "");
    store.putReplica("i-9", ReplicaStandin.listEntry(endpoint, SampleTraffic.ENGINE, false));
  }

  private static void respondAtLength(Request request, Response response, Callback callback) {
    try {
      Content.Source.asInputStream(request).readAllBytes();
    } catch (IOException e) {
      callback.failed(e);
      return;
    }
    String id = String.valueOf(request.getHeaders().get("X-Attempt-Id"));
    response.getHeaders().put("X-Attempt-Id", id).put("X-Response-Signature", "s." + id);
    response.getHeaders().put("Content-Type", "text/event-stream");
    sendEvents(response, callback, EVENTS);
  }

  private static void sendEvents(Response response, Callback callback, int count) {
    ByteBuffer event = ByteBuffer.wrap(EVENT.getBytes(StandardCharsets.UTF_8));
    if (count == 1) {
      response.write(true, event, callback);
    } else {
      response.write(
          false,
          event,
          Callback.from(() -> sendEvents(response, callback, count - 1), callback::failed));
    }
  }

  @Test
  void heldBytesAreBoundedAndTheResponseIsComplete() throws IOException {
    Instance instance = startReadyInstance();
    startLongStreams();
    await(
        () ->
            send(instance, "/l/x", "w" + System.nanoTime(), "key")
                .handle((reply, tooLong) -> tooLong != null)
                .join());
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Socket socket = openRequest(instance, "GET /l/x HTTP/1.1");
      socket.getOutputStream().write(("X-Attempt-Id: l-" + i + "\r\n\r\n").getBytes(UTF_8));
      sockets.add(socket);
    }
    await(() -> heldBytes(instance) >= MAX_HELD_BYTES / 2.0);
    for (int i = 0; i < 20; i++) {
      double held = heldBytes(instance);
      assertTrue(held <= MAX_HELD_BYTES, held + " bytes");
      sleep(20);
    }
    long expected = (long) EVENT.length() * EVENTS;
    for (Socket socket : sockets) {
      assertTrue(drain(socket.getInputStream(), expected) >= expected);
    }
    await(() -> heldBytes(instance) == 0);
  }

  /** Reads until the last chunk, and returns the number of bytes. */
  private static long drain(InputStream in, long expected) throws IOException {
    byte[] buffer = new byte[64 * 1024];
    long total = 0;
    String tail = "";
    while (!tail.endsWith("\r\n0\r\n\r\n")) {
      int count = in.read(buffer);
      assertTrue(count > 0, "ended after " + total + " of " + expected + " bytes");
      total += count;
      String text = tail + new String(buffer, Math.max(0, count - 7), Math.min(7, count), UTF_8);
      tail = text.substring(Math.max(0, text.length() - 7));
    }
    return total;
  }

  @Test
  void bodiesAreRejectedWhileTooManyBytesAreHeld() throws IOException {
    Instance instance = startReadyInstance();
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      Socket socket = openRequest(instance, "POST /n/x HTTP/1.1");
      String rest = "X-Attempt-Id: b-" + i + "\r\nContent-Length: 1000000\r\n\r\n";
      socket.getOutputStream().write(rest.getBytes(UTF_8));
      socket.getOutputStream().write(new byte[900_000]);
      sockets.add(socket);
    }
    await(() -> heldBytes(instance) >= 1_800_000);
    assertEquals(503, call(instance, "/n/x", "small-1", "key").status());
    assertTrue(engine.executedHeaders().isEmpty());
    for (Socket socket : sockets) {
      socket.close();
    }
    await(() -> heldBytes(instance) == 0);
    assertEquals(200, call(instance, "/n/x", "small-2", "key").status());
  }
}
