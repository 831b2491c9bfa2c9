package review;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Replica of a model that makes an event each 100 ms, with a pause after some of them. */
final class StreamReplica {

  private static final long EVENT_MILLIS = 100;

  /** What became of a request at the replica. */
  enum State {
    WORKING,
    DONE,
    CALLER_LEFT
  }

  final Map<String, State> states = new ConcurrentHashMap<>();

  StreamReplica(Store store, Record record, String id, int events, int pauseAfter, long pauseMillis)
      throws IOException {
    new Replica(
        store,
        "127.0.0.1",
        id,
        Config.ENGINE,
        64,
        (request, body, out, socket) -> {
          String attempt = request.field("X-Attempt-Id");
          states.put(attempt, State.WORKING);
          record.line("%s runs %s", id, attempt);
          try {
            Replica.write(
                out,
                Replica.head(
                    request,
                    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            for (int i = 1; i <= events; i++) {
              Replica.chunk(out, Replica.event(i));
              Thread.sleep(i == pauseAfter ? pauseMillis : EVENT_MILLIS);
            }
            Replica.write(out, "0\r\n\r\n");
            states.put(attempt, State.DONE);
            record.line("%s has answered %s whole", id, attempt);
          } catch (IOException e) {
            states.put(attempt, State.CALLER_LEFT);
            record.line("%s: the caller closed the connection of %s", id, attempt);
            throw e;
          }
        });
  }
}
