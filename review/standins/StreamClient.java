package review;

import java.io.IOException;

/** Sends one stream request on a new connection. */
final class StreamClient {

  private static final long DEADLINE_MILLIS = 12_000;

  final String id;
  private final Record record;
  private final String address;

  /** Time at which the last byte of the request was sent. */
  long sentAt;

  /** Time at which the answer was complete or the connection ended. */
  long endedAt;

  /** Status of the answer, 0 if the connection ended before its head. */
  int status;

  boolean complete;

  StreamClient(Record record, String address, String id) {
    this.record = record;
    this.id = id;
    this.address = address;
  }

  /** Sends the request and reads the answer. */
  void run() {
    try (Client client = new Client(address, (int) DEADLINE_MILLIS + 1_000)) {
      String body = "prompt";
      client.send(
          Client.head("POST", Config.HOST, Config.STREAM + "2f", id, DEADLINE_MILLIS)
              + "X-Model: m\r\nX-Token-Usage: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,"
              + id
              + ":660\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
      sentAt = System.nanoTime();
      record.line("client sent %s", id);
      Message answer = client.readHead();
      status = answer.status();
      int bytes = client.readBody(answer).length;
      complete = true;
      record.line("client got the whole answer to %s: %d, %d bytes", id, status, bytes);
    } catch (IOException e) {
      record.line("connection of %s ended without a complete answer: %s", id, e.getMessage());
    }
    endedAt = System.nanoTime();
  }
}
