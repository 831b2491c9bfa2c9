import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.StringJoiner;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests of long sessions, whose prompts share many parts. One part crashes each replica that
 * begins to write an answer on it; the replica is back after two seconds.
 */
final class Parts {

  /** Number of shared parts before the one that crashes replicas. */
  private static final int PARTS_BEFORE =
      Integer.parseInt(Rig.env("PARTS_BEFORE").orElse("33"));

  private static final String BAD_PART = "badc0de5";
  private static final int REPLICAS = 6;
  private static final long DOWN_MS = 2_000;
  private static final long RUN_MS = 40_000;
  private static final long BAD_INTERVAL_MS = 900;
  private static final long STABILITY_WINDOW_MS = 3_000;

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

  private final Rig rig;
  private final boolean trouble;
  private final List<Long> crashes = new ArrayList<>();
  private final List<Long> badArrivals = new ArrayList<>();
  private final AtomicInteger started = new AtomicInteger();

  private Parts(Rig rig, boolean trouble) {
    this.rig = rig;
    this.trouble = trouble;
  }

  public static void main(String[] args) {
    Rig.run(args[0], (rig, trouble) -> new Parts(rig, trouble).holds());
  }

  private boolean holds() throws Exception {
    rig.store.put("keyed.op", "config", CONFIGURATION);
    for (int i = 0; i < REPLICAS; i++) {
      startReplica();
    }
    rig.startInstances(3);
    long until = System.nanoTime() + RUN_MS * 1_000_000;
    Rig.daemon("sound", () -> sendUntil(until, "s", 150));
    sendUntil(until, "b", BAD_INTERVAL_MS);
    Rig.sleep(1_000);
    synchronized (this) {
      rig.note("crashes: %d, arrivals with the part: %d", crashes.size(), badArrivals.size());
      if (crashes.size() < 5) {
        return true;
      }
      long from = crashes.get(4) + STABILITY_WINDOW_MS * 1_000_000;
      long late = badArrivals.stream().filter(at -> at > from).count();
      rig.note("arrivals with the part later than 3 s after the fifth crash: %d (allowed: 3)", late);
      return late <= 3;
    }
  }

  private void startReplica() throws Exception {
    rig.startReplica(
        "i-" + started.incrementAndGet(), "huvo11a", 64, (r, q, s) -> serve(r, q, s.getOutputStream()));
  }

  private boolean serve(Rig.Replica replica, Rig.Message request, OutputStream out) throws Exception {
    boolean bad = request.field("x-prompt-prefix").contains(BAD_PART);
    if (bad) {
      synchronized (this) {
        badArrivals.add(System.nanoTime());
      }
    }
    Rig.sleep(60);
    out.write(
        Rig.bytes(
            "HTTP/1.1 200 OK\r\n" + replica.own(request)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
    out.flush();
    if (bad && trouble) {
      synchronized (this) {
        crashes.add(System.nanoTime());
      }
      rig.note("replica %s crashes under %s", replica.id, request.field("x-attempt-id"));
      replica.crash();
      Rig.daemon(
          "restart",
          () -> {
            Rig.sleep(DOWN_MS);
            startReplica();
          });
      return false;
    }
    for (int event = 1; event <= 6; event++) {
      Rig.sleep(40);
      byte[] bytes = Rig.bytes("id: " + event + "\ndata: tokens\n\n");
      out.write(Rig.bytes(Integer.toHexString(bytes.length) + "\r\n"));
      out.write(bytes);
      out.write(Rig.bytes("\r\n"));
      out.flush();
    }
    out.write(Rig.bytes("0\r\n\r\n"));
    out.flush();
    return true;
  }

  private void sendUntil(long until, String kind, long intervalMillis) {
    for (int i = 0; System.nanoTime() < until; i++) {
      int number = i;
      Rig.daemon("client", () -> send(kind, number));
      Rig.sleep(intervalMillis);
    }
  }

  private void send(String kind, int number) throws Exception {
    String id = kind + number;
    StringJoiner prompt = new StringJoiner(",");
    for (int part = 0; part < PARTS_BEFORE; part++) {
      prompt.add(String.format("5c1e%04x:200", part));
    }
    if (kind.equals("b")) {
      prompt.add(BAD_PART + ":200");
    }
    prompt.add(String.format("e4%06x:250", (kind + number).hashCode() & 0xffffff));
    String fields =
        "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 20000\r\nX-Model: m\r\nX-Token-Usage: 8000,80\r\n"
            + "X-Prompt-Prefix: " + prompt + "\r\n";
    Rig.Instance instance = rig.instances.get(number % rig.instances.size());
    try (Rig.Client client = new Rig.Client(instance.clients(), 20_000)) {
      Rig.Answer answer =
          client.call("POST", "/puxa400/" + id, "pule25.example", fields, Rig.bytes("prompt " + id));
      if (kind.equals("b") || answer.status != 200 || !answer.complete()) {
        rig.note("%s: status %d, %s", id, answer.status, answer.end);
      }
    }
  }
}
