import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Requests whose path begins with an empty segment, on a route with the prefix of one slash. */
final class Paths {

  private static final String CONFIGURATION =
      """
      {"version":7,"routes":[
      {"name":"r-lookup","host":"jepu9.example","path_prefix":"/","route_type":"non_idempotent",
       "timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"kafi81c",
       "max_attempts":1,"allow_anonymous":true}],
      "services":[{"name":"kafi81c","health_check_path":"/healthz","max_connections":110,
       "protocol":"h1","tls":false}],
      "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
       "idle_timeout_ms":15000}}
      """;

  private static final List<String> PLAIN =
      List.of("/orders/7/confirm", "/cancel/7", "/a//b", "/orders?day=1", "/a%2Fb");

  private static final List<String> EMPTY_SEGMENT =
      List.of("//orders/7/confirm", "//cancel/7", "///a", "//orders?day=1", "//7/refund?sum=1");

  private Paths() {}

  public static void main(String[] args) {
    Rig.run(args[0], Paths::holds);
  }

  private static boolean holds(Rig rig, boolean trouble) throws Exception {
    rig.store.put("keyed.op", "config", CONFIGURATION);
    Map<String, String> ran = new ConcurrentHashMap<>();
    for (int i = 1; i <= 3; i++) {
      rig.startReplica(
          "p-" + i,
          "kafi81c",
          6,
          (r, q, s) -> {
            ran.put(q.field("x-attempt-id"), q.target());
            s.getOutputStream().write(Rig.response(200, r.own(q), new byte[800]));
            return true;
          });
    }
    rig.startInstances(2);
    int changed = 0;
    List<String> targets = trouble ? EMPTY_SEGMENT : PLAIN;
    for (int i = 0; i < targets.size(); i++) {
      String id = "n" + i;
      try (Rig.Client client = new Rig.Client(rig.instances.get(i % 2).clients(), 3_000)) {
        String fields = "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 2500\r\n";
        Rig.Answer answer =
            client.call("POST", targets.get(i), "jepu9.example", fields, new byte[100]);
        String target = ran.getOrDefault(id, "(not run)");
        rig.note("%s: sent %s, ran as %s, status %d", id, targets.get(i), target, answer.status);
        if (ran.containsKey(id) && !target.equals(targets.get(i))) {
          changed++;
        }
      }
    }
    rig.note("run with another path: %d of %d", changed, targets.size());
    return changed == 0;
  }
}
