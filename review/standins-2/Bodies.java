import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers with long bodies, within the limit of the configuration, come at once. Judged are the
 * bookings of other callers, whose service and replicas have nothing to do with it.
 */
final class Bodies {

  /** Length of a body; the configuration allows 4,194,304 bytes. */
  private static final int BODY_BYTES = 4_000_000;

  /** Time in which a body is sent, at an even rate of 4 Mbit/s. */
  private static final long BODY_MS = 8_000;

  private static final int STEPS = 80;

  /** Callers with a long body at usual times, and when many come at once. */
  private static final int USUAL_CALLERS =
      Integer.parseInt(Rig.env("USUAL_CALLERS").orElse("40"));

  private static final double BURST = Double.parseDouble(Rig.env("BURST").orElse("2.5"));

  private static final int INSTANCES = Integer.parseInt(Rig.env("INSTANCES").orElse("1"));
  private static final long BOOKING_INTERVAL_MS = 100;
  private static final long RUN_MS = 16_000;
  private static final long TIMEOUT_MS = 1_200;
  private static final long ANSWER_SLACK_MS = 500;

  private static final String CONFIGURATION =
      """
      {"version":7,"routes":[
      {"name":"r-draft","host":"pule25.example","path_prefix":"/puxa400/","route_type":"streaming",
       "timeout_ms":20000,"target_latency_ms":2500,"priority":0,"service":"huvo11a",
       "max_attempts":1,"allow_anonymous":true,"session_affinity":true,"stream_resume":false,
       "gap_aim_ms":400},
      {"name":"r-payout","host":"jepu9.example","path_prefix":"/bobo563/",
       "route_type":"non_idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,
       "service":"kafi81c","max_attempts":1,"allow_anonymous":true}],
      "services":[{"name":"huvo11a","health_check_path":"/healthz","max_connections":370,
       "protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":695183}},
      {"name":"kafi81c","health_check_path":"/healthz","max_connections":110,"protocol":"h1",
       "tls":false}],
      "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
       "idle_timeout_ms":15000}}
      """;

  private final Rig rig;
  private final int callers;
  private final Map<String, Integer> longAnswers = new ConcurrentHashMap<>();

  /** Time from the start of a booking to its answer in milliseconds; -1 if there was none. */
  private final Map<String, Long> bookings = new ConcurrentHashMap<>();

  private Bodies(Rig rig, boolean trouble) {
    this.rig = rig;
    this.callers = (int) (USUAL_CALLERS * (trouble ? BURST : 1));
  }

  public static void main(String[] args) {
    Rig.run(args[0], (rig, trouble) -> new Bodies(rig, trouble).holds());
  }

  private boolean holds() throws Exception {
    rig.store.put("keyed.op", "config", CONFIGURATION);
    for (int i = 1; i <= 4; i++) {
      rig.startReplica("i-" + i, "huvo11a", 64, (r, q, s) -> stream(r, q, s.getOutputStream()));
    }
    for (int i = 1; i <= 3; i++) {
      rig.startReplica("p-" + i, "kafi81c", 6, (r, q, s) -> book(r, q, s.getOutputStream()));
    }
    rig.startInstances(INSTANCES);
    rig.note("%d callers with a body of %d bytes", callers, BODY_BYTES);
    for (int i = 0; i < callers; i++) {
      int number = i;
      Rig.daemon("long", () -> sendLongBody(number));
    }
    long until = System.nanoTime() + RUN_MS * 1_000_000;
    Rig.daemon("ready", () -> watchReady(until));
    for (int i = 0; System.nanoTime() < until; i++) {
      int number = i;
      Rig.daemon("booking", () -> sendBooking(number));
      Rig.sleep(BOOKING_INTERVAL_MS);
    }
    Rig.sleep(12_000);
    rig.note("answers to long bodies: %s", longAnswers);
    long open = bookings.values().stream().filter(ms -> ms < 0 || ms > TIMEOUT_MS).count();
    long late =
        bookings.values().stream().filter(ms -> ms < 0 || ms > TIMEOUT_MS + ANSWER_SLACK_MS).count();
    rig.note(
        "bookings: %d, without an answer at the timeout of 1.2 s: %d, still without 0.5 s later: %d",
        bookings.size(), open, late);
    return late < 8 || late * 2 <= open;
  }

  private void watchReady(long until) {
    while (System.nanoTime() < until) {
      for (Rig.Instance instance : rig.instances) {
        int status = instance.readyStatus(1_000);
        if (status != 200) {
          rig.note("readiness check of instance %d: %s", instance.number, status == 0 ? "no answer in 1 s" : status);
        }
      }
      Rig.sleep(1_000);
    }
  }

  private void sendLongBody(int number) throws IOException {
    String id = "s" + number;
    Rig.Instance instance = rig.instances.get(number % rig.instances.size());
    byte[] part = new byte[BODY_BYTES / STEPS];
    try (Rig.Client client = new Rig.Client(instance.clients(), 25_000)) {
      OutputStream out = client.socket.getOutputStream();
      out.write(
          Rig.bytes(
              "POST /puxa400/" + id + " HTTP/1.1\r\nHost: pule25.example\r\nX-Attempt-Id: " + id
                  + "\r\nX-Deadline-Ms: 20000\r\nX-Model: m\r\nX-Token-Usage: 1460,80\r\n"
                  + "X-Prompt-Prefix: 5c1e07a2:800,e4" + number + ":250\r\nContent-Length: "
                  + BODY_BYTES + "\r\n\r\n"));
      String end = "";
      try {
        for (int i = 0; i < STEPS; i++) {
          out.write(part);
          Rig.sleep(BODY_MS / STEPS);
        }
      } catch (IOException e) {
        end = " (cut while the body was sent)";
      }
      Rig.Answer answer = client.read();
      rig.note("long body %s: status %d, %s%s", id, answer.status, answer.end, end);
      longAnswers.merge(answer.status + " " + answer.end + end, 1, Integer::sum);
    }
  }

  private void sendBooking(int number) {
    String id = "n" + number;
    Rig.Instance instance = rig.instances.get(number % rig.instances.size());
    long sentAt = System.nanoTime();
    long millis = -1;
    String end = "not connected in 1 s";
    try (Rig.Client client = new Rig.Client(instance.clients(), 2_500)) {
      String fields = "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 2500\r\n";
      Rig.Answer answer =
          client.call("POST", "/bobo563/" + id, "jepu9.example", fields, new byte[600]);
      end = answer.status + " " + answer.end;
      if (answer.status > 0) {
        millis = (System.nanoTime() - sentAt) / 1_000_000;
      }
    } catch (IOException e) {
      // Counts as a booking without an answer.
    }
    bookings.put(id, millis);
    if (millis < 0 || millis > TIMEOUT_MS) {
      rig.note("booking %s: %s, after %d ms", id, end, (System.nanoTime() - sentAt) / 1_000_000);
    }
  }

  private static boolean book(Rig.Replica replica, Rig.Message request, OutputStream out)
      throws Exception {
    Rig.sleep(30);
    out.write(Rig.response(200, replica.own(request), new byte[800]));
    return true;
  }

  private static boolean stream(Rig.Replica replica, Rig.Message request, OutputStream out)
      throws Exception {
    Rig.sleep(60);
    out.write(
        Rig.bytes(
            "HTTP/1.1 200 OK\r\n" + replica.own(request)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
    for (int event = 1; event <= 20; event++) {
      Rig.sleep(45);
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
}
