package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection of a client to an instance. */
final class Client implements AutoCloseable {

  private final Socket socket = new Socket();
  private final InputStream in;
  private final OutputStream out;

  Client(String address, int timeoutMillis) throws IOException {
    int colon = address.lastIndexOf(':');
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        1_000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  static String head(String method, String host, String path, String id, long deadlineMillis) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: "
        + host
        + "\r\nX-Attempt-Id: "
        + id
        + "\r\nX-Deadline-Ms: "
        + deadlineMillis
        + "\r\nApi-Key: k1\r\n";
  }

  void send(String text) throws IOException {
    send(text.getBytes(StandardCharsets.ISO_8859_1), 0, text.length());
  }

  void send(byte[] bytes, int offset, int length) throws IOException {
    out.write(bytes, offset, length);
    out.flush();
  }

  Message readHead() throws IOException {
    Message message = Message.readHead(in);
    if (message == null) {
      throw new IOException("connection closed without an answer");
    }
    return message;
  }

  byte[] readBody(Message head) throws IOException {
    return head.readBody(in);
  }

  InputStream in() {
    return in;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
