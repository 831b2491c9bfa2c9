import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One request crashes each replica that begins to run it, and comes again with the same path, caller
 * and body, and another query each time; the replica is back after two seconds.
 */
final class Query {

  /** Whether the query is the same each time. */
  private static final boolean SAME_QUERY = Rig.env("SAME_QUERY").isPresent();

  private static final int REPLICAS = 6;
  private static final long DOWN_MS = 2_000;
  private static final long RUN_MS = 40_000;
  private static final long BAD_INTERVAL_MS = 1_100;
  private static final long STABILITY_WINDOW_MS = 3_000;

  private static final String CONFIGURATION =
      """
      {"version":7,"routes":[
      {"name":"r-payout","host":"jepu9.example","path_prefix":"/bobo563/",
       "route_type":"non_idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,
       "service":"kafi81c","max_attempts":1,"allow_anonymous":false}],
      "services":[{"name":"kafi81c","health_check_path":"/healthz","max_connections":110,
       "protocol":"h1","tls":false}],
      "tenants":[{"name":"bozi300","api_keys":["9dnn2ctnfzs989anu6ws"],"priority":1}],
      "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
       "idle_timeout_ms":15000}}
      """;

  private final Rig rig;
  private final boolean trouble;
  private final List<Long> crashes = new ArrayList<>();
  private final List<Long> badArrivals = new ArrayList<>();
  private final AtomicInteger started = new AtomicInteger();

  private Query(Rig rig, boolean trouble) {
    this.rig = rig;
    this.trouble = trouble;
  }

  public static void main(String[] args) {
    Rig.run(args[0], (rig, trouble) -> new Query(rig, trouble).holds());
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
      rig.note("crashes: %d, arrivals of the request: %d", crashes.size(), badArrivals.size());
      if (crashes.size() < 3) {
        return true;
      }
      long from = crashes.get(2) + STABILITY_WINDOW_MS * 1_000_000;
      long late = badArrivals.stream().filter(at -> at > from).count();
      rig.note("arrivals of the request later than 3 s after the third crash: %d (allowed: 3)", late);
      return late <= 3;
    }
  }

  private void startReplica() throws Exception {
    rig.startReplica(
        "i-" + started.incrementAndGet(), "kafi81c", 6, (r, q, s) -> serve(r, q, s.getOutputStream()));
  }

  private boolean serve(Rig.Replica replica, Rig.Message request, OutputStream out) throws Exception {
    boolean bad = request.target().startsWith("/bobo563/bad");
    if (bad) {
      synchronized (this) {
        badArrivals.add(System.nanoTime());
      }
    }
    Rig.sleep(30);
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
    out.write(Rig.response(200, replica.own(request), new byte[800]));
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
    String target =
        kind.equals("b") ? "/bobo563/bad?at=" + (SAME_QUERY ? 0 : number) : "/bobo563/" + id;
    String fields =
        "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 2500\r\nApi-Key: 9dnn2ctnfzs989anu6ws\r\n";
    byte[] body = Rig.bytes(kind.equals("b") ? "the same body" : "body " + id);
    Rig.Instance instance = rig.instances.get(number % rig.instances.size());
    try (Rig.Client client = new Rig.Client(instance.clients(), 3_000)) {
      Rig.Answer answer =
          client.call("POST", target, "jepu9.example", fields, body);
      if (kind.equals("b") || answer.status != 200 || !answer.complete()) {
        rig.note("%s: status %d, %s", id, answer.status, answer.end);
      }
    }
  }
}
