package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Stand-in of a replica. It answers reports and health checks, rejects requests that expect another
 * replica with 421, and leaves all other requests to its behaviour. While it lives it writes its
 * entry to the store.
 */
final class Replica implements AutoCloseable {

  private static final long HEARTBEAT_MILLIS = 1_200;

  /** Answers a request whose head and body have been read. */
  interface Behaviour {
    void answer(Message request, byte[] body, OutputStream out, Socket socket) throws Exception;
  }

  final String id;
  private final String service;
  private final int slots;
  private final ServerSocket listener;
  private final Behaviour behaviour;
  private final long born = System.currentTimeMillis();
  private final Store store;
  private volatile boolean closed;

  Replica(Store store, String host, String id, String service, int slots, Behaviour behaviour)
      throws IOException {
    this.store = store;
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.behaviour = behaviour;
    this.listener = new ServerSocket(0, 512, InetAddress.getByName(host));
    Threads.start("replica", this::accept);
    Threads.start("heartbeat", this::beat);
  }

  private void beat() throws InterruptedException {
    for (int seq = 1; !closed; seq++) {
      String address = listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
      store.put(
          "keyed.servers",
          id,
          "{\"service\":"
              + Json.quote(service)
              + ",\"address\":"
              + Json.quote(address)
              + ",\"zone\":\"antigua\",\"version\":\"v1\",\"slots\":"
              + slots
              + ",\"state\":\"ready\",\"warmup_left_ms\":0,\"born\":"
              + born
              + ",\"seq\":"
              + seq
              + "}");
      Thread.sleep(HEARTBEAT_MILLIS);
    }
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = listener.accept();
      socket.setTcpNoDelay(true);
      Threads.start("replica-connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws Exception {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Message request = Message.readHead(in); request != null; request = Message.readHead(in)) {
        byte[] body = request.readBody(in);
        String expected = request.field("X-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
          write(out, "HTTP/1.1 421 -\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        } else if (request.target().equals("/healthz")) {
          write(out, "HTTP/1.1 200 -\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        } else {
          behaviour.answer(request, body, out, socket);
        }
        if (request.field("Connection").equalsIgnoreCase("close")) {
          return;
        }
      }
    }
  }

  /** Returns the head of an answer to a request, up to its framing. */
  static String head(Message request, String more) {
    String attempt = request.field("X-Attempt-Id");
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: "
        + attempt
        + "\r\nX-Response-Signature: sig."
        + attempt
        + "\r\n"
        + more
        + "\r\n";
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Writes a chunk; an empty text ends the body. */
  static void chunk(OutputStream out, String text) throws IOException {
    write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  static String event(int number) {
    return "id: " + number + "\ndata: token " + number + "\n\n";
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
  }
}
