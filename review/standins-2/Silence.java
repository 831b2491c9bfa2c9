import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams whose replica sends nothing for some seconds: one kind waits for its first event after
 * the head of the answer, the other one is preempted after some events and read in again.
 */
final class Silence {

  /** Length of the pause; the clients of this route leave after a gap of 4 x 2,500 ms. */
  private static final long SILENCE_MS = 6_000;

  private static final int STREAMS = 12;
  private static final int EVENTS = 8;

  private static final String CONFIGURATION =
      """
      {"version":7,"routes":[
      {"name":"r-draft","host":"pule25.example","path_prefix":"/puxa400/","route_type":"streaming",
       "timeout_ms":20000,"target_latency_ms":2500,"priority":0,"service":"huvo11a",
       "max_attempts":1,"allow_anonymous":true,"session_affinity":true,"stream_resume":false,
       "gap_aim_ms":400}],
      "services":[{"name":"huvo11a","health_check_path":"/healthz","max_connections":370,
       "protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":695183}}],
      "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
       "idle_timeout_ms":15000}}
      """;

  private Silence() {}

  public static void main(String[] args) {
    Rig.run(args[0], Silence::holds);
  }

  private static boolean holds(Rig rig, boolean trouble) throws Exception {
    rig.store.put("keyed.op", "config", CONFIGURATION);
    for (int i = 1; i <= 3; i++) {
      rig.startReplica("i-" + i, "huvo11a", 64, (r, q, s) -> stream(rig, r, q, s.getOutputStream(), trouble));
    }
    rig.startInstances(3);
    AtomicInteger unanswered = new AtomicInteger();
    AtomicInteger cut = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      int number = i;
      Rig.Instance instance = rig.instances.get(i % 3);
      clients.add(
          Rig.daemon("client", () -> callTwice(rig, instance, "wait", number, unanswered, cut)));
    }
    for (Thread client : clients) {
      client.join();
    }
    int closedAtAnyTime = unanswered.get();
    rig.note("kept connections closed without an answer, at any time: %d of %d", closedAtAnyTime, STREAMS);
    clients.clear();
    cut.set(0);
    for (Rig.Instance instance : rig.instances) {
      instance.signal("HUP");
    }
    for (int i = 0; i < STREAMS; i++) {
      int number = i;
      Rig.Instance instance = rig.instances.get(i % 3);
      clients.add(
          Rig.daemon("client", () -> callTwice(rig, instance, "preempt", number, unanswered, cut)));
    }
    for (Thread client : clients) {
      client.join();
    }
    rig.note("passed on and cut without a complete answer, sent within 2 s of SIGHUP: %d of %d", cut.get(), STREAMS);
    return closedAtAnyTime <= 3 && cut.get() == 0;
  }

  /**
   * Sends a request on a route that never existed, after whose answer the connection is kept, and
   * then the stream.
   */
  private static void callTwice(
      Rig rig, Rig.Instance instance, String kind, int number, AtomicInteger unanswered, AtomicInteger cut)
      throws Exception {
    try (Rig.Client client = new Rig.Client(instance.clients(), 12_000)) {
      Rig.Answer first = call(client, "/none/x", kind + number + "n");
      if (!first.complete() || first.status != 404) {
        throw new IllegalStateException("first request: " + first.status + " " + first.end);
      }
      long sentAt = System.nanoTime();
      rig.note("sent %s%d on a kept connection of instance %d", kind, number, instance.number);
      Rig.Answer answer = call(client, "/puxa400/" + kind, kind + number);
      long millis = (answer.endNanos - sentAt) / 1_000_000;
      rig.note(
          "%s%d: status %d, %d events, %s, after %d ms",
          kind, number, answer.status, answer.text().split("id:", -1).length - 1, answer.end, millis);
      if (answer.status == 0) {
        unanswered.incrementAndGet();
      }
      if (!answer.complete()) {
        cut.incrementAndGet();
      }
    }
  }

  private static Rig.Answer call(Rig.Client client, String target, String id) {
    String fields =
        "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 20000\r\nX-Model: m\r\nX-Token-Usage: 1460,80\r\n"
            + "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n";
    return client.call("POST", target, "pule25.example", fields, new byte[600]);
  }

  private static boolean stream(
      Rig rig, Rig.Replica replica, Rig.Message request, OutputStream out, boolean trouble)
      throws Exception {
    String kind = request.target().substring("/puxa400/".length());
    out.write(
        Rig.bytes(
            "HTTP/1.1 200 OK\r\n" + replica.own(request)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
    out.flush();
    for (int event = 1; event <= EVENTS; event++) {
      boolean pause = kind.equals("wait") && event == 1 || kind.equals("preempt") && event == 4;
      Rig.sleep(pause && trouble ? SILENCE_MS : 50);
      byte[] bytes = Rig.bytes("id: " + event + "\ndata: tokens\n\n");
      out.write(Rig.bytes(Integer.toHexString(bytes.length) + "\r\n"));
      out.write(bytes);
      out.write(Rig.bytes("\r\n"));
      out.flush();
    }
    out.write(Rig.bytes("0\r\n\r\n"));
    out.flush();
    rig.note("replica %s wrote all events of %s", replica.id, request.field("x-attempt-id"));
    return true;
  }
}
