package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in of the platform's store: keyed topics with one partition, kept in memory. */
final class Store implements AutoCloseable {

  private final ServerSocket listener;
  private final Map<String, List<byte[]>> topics = new HashMap<>();

  Store(String host) throws IOException {
    listener = new ServerSocket(0, 256, InetAddress.getByName(host));
    Threads.start("store", this::accept);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Appends a record to a keyed topic; an empty value removes the key. */
  synchronized void put(String topic, String key, String value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
    record.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
    topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(record.array());
    notifyAll();
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = listener.accept();
      socket.setTcpNoDelay(true);
      Threads.start("store-connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Message request = Message.readHead(in); request != null; request = Message.readHead(in)) {
        byte[] body = request.readBody(in);
        handle(request, body, out);
      }
    }
  }

  private void handle(Message request, byte[] body, OutputStream out) throws IOException {
    String path = request.target().split("\\?")[0];
    Map<String, String> query = query(request.target());
    String topic = query.getOrDefault("topic", "");
    switch (path) {
      case "/log-append" -> respond(out, 200, append(topic, body));
      case "/log-read" ->
          respond(
              out,
              200,
              read(
                  topic,
                  Integer.parseInt(query.get("from")),
                  Long.parseLong(query.getOrDefault("wait_ms", "0"))));
      case "/log-newest" -> respond(out, 200, newest(topic));
      default -> respond(out, 404, new byte[0]);
    }
  }

  private synchronized byte[] append(String topic, byte[] body) {
    List<byte[]> records = topics.computeIfAbsent(topic, t -> new ArrayList<>());
    int offset = records.size();
    ByteBuffer buffer = ByteBuffer.wrap(body);
    while (buffer.hasRemaining()) {
      byte[] record = new byte[buffer.getInt()];
      buffer.get(record);
      records.add(record);
    }
    notifyAll();
    return ("{\"offset\":" + offset + ",\"end\":" + records.size() + "}")
        .getBytes(StandardCharsets.UTF_8);
  }

  private synchronized byte[] read(String topic, int from, long waitMillis) throws IOException {
    long until = System.nanoTime() + waitMillis * 1_000_000;
    List<byte[]> records = topics.computeIfAbsent(topic, t -> new ArrayList<>());
    while (records.size() <= from) {
      long left = (until - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        break;
      }
      try {
        wait(left);
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
    for (int i = from; i < records.size(); i++) {
      bytes.write(ByteBuffer.allocate(4).putInt(records.get(i).length).array());
      bytes.write(records.get(i));
    }
    return bytes.toByteArray();
  }

  private synchronized byte[] newest(String topic) {
    List<byte[]> records = topics.computeIfAbsent(topic, t -> new ArrayList<>());
    Map<String, String> items = new LinkedHashMap<>();
    for (int offset = 0; offset < records.size(); offset++) {
      byte[] record = records.get(offset);
      int length = record[0] & 0xff;
      String key = new String(record, 1, length, StandardCharsets.UTF_8);
      items.remove(key);
      if (record.length > 1 + length) {
        byte[] value = java.util.Arrays.copyOfRange(record, 1 + length, record.length);
        items.put(
            key,
            "{\"key\":"
                + Json.quote(key)
                + ",\"value\":"
                + Json.quote(Base64.getEncoder().encodeToString(value))
                + ",\"offset\":"
                + offset
                + "}");
      }
    }
    String text =
        "{\"items\":["
            + String.join(",", items.values())
            + "],\"has_more\":false,\"end\":"
            + records.size()
            + "}";
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static void respond(OutputStream out, int status, byte[] body) throws IOException {
    String head =
        "HTTP/1.1 "
            + status
            + " -\r\nStore-Era: 1\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.write(head.getBytes(StandardCharsets.ISO_8859_1));
    all.write(body);
    out.write(all.toByteArray());
    out.flush();
  }

  private static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    int mark = target.indexOf('?');
    if (mark >= 0) {
      for (String pair : target.substring(mark + 1).split("&")) {
        int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
