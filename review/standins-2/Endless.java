import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of eight model replicas begins its answers well and then sends bytes that are no answer, until
 * the caller closes. Judged are the requests of another service, whose replicas are sound.
 */
final class Endless {

  private static final int ENGINES = 8;

  /** Time for which the faulty replica is faulty; later answers are whole. */
  private static final long FAULTY_MS =
      Long.parseLong(Rig.env("FAULTY_MS").orElse("6000"));

  /** Share of its answers that have no end. */
  private static final double FAULTY_SHARE =
      Double.parseDouble(Rig.env("FAULTY_SHARE").orElse("1"));

  private static final int FAULTY_REPLICAS =
      Integer.parseInt(Rig.env("FAULTY_REPLICAS").orElse("3"));

  private static final int INSTANCES = Integer.parseInt(Rig.env("INSTANCES").orElse("1"));
  private static final long STREAM_INTERVAL_MS = 30;
  private static final long BOOKING_INTERVAL_MS = 120;
  private static final long RUN_MS = 30_000;
  private static final long TIMEOUT_MS = 1_200;
  private static final long ANSWER_SLACK_MS = 500;

  private static final String CONFIGURATION =
      """
      {"version":7,"routes":[
      {"name":"r-summary","host":"pule25.example","path_prefix":"/puxa400/",
       "route_type":"streaming","timeout_ms":20000,"target_latency_ms":2500,"priority":1,
       "service":"huvo11a","max_attempts":1,"allow_anonymous":true,"session_affinity":true,
       "stream_resume":false,"gap_aim_ms":400},
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
  private final boolean trouble;
  private volatile long faultyUntil;
  private volatile long faultyFrom = Long.MAX_VALUE;
  private final AtomicInteger endlessNow = new AtomicInteger();
  private final AtomicInteger endlessMost = new AtomicInteger();
  private final AtomicInteger answers = new AtomicInteger();

  /** Time from the start of a booking to its answer in milliseconds; -1 if there was none. */
  private final Map<String, Long> bookings = new ConcurrentHashMap<>();

  private Endless(Rig rig, boolean trouble) {
    this.rig = rig;
    this.trouble = trouble;
  }

  public static void main(String[] args) {
    Rig.run(args[0], (rig, trouble) -> new Endless(rig, trouble).holds());
  }

  private boolean holds() throws Exception {
    rig.store.put("keyed.op", "config", CONFIGURATION);
    for (int i = 1; i <= ENGINES; i++) {
      boolean faulty = trouble && i <= FAULTY_REPLICAS;
      rig.startReplica(
          "i-" + i, "huvo11a", 64, (r, q, s) -> stream(r, q, s.getOutputStream(), faulty));
    }
    for (int i = 1; i <= 3; i++) {
      rig.startReplica("p-" + i, "kafi81c", 6, (r, q, s) -> book(r, q, s.getOutputStream()));
    }
    rig.startInstances(INSTANCES);
    long startedAt = System.nanoTime();
    faultyFrom = startedAt + 5_000_000_000L;
    faultyUntil = faultyFrom + FAULTY_MS * 1_000_000;
    long until = startedAt + RUN_MS * 1_000_000;
    Rig.daemon("streams", () -> repeat(until, STREAM_INTERVAL_MS, this::sendStream));
    Rig.daemon("ready", () -> watchReady(until));
    repeat(until, BOOKING_INTERVAL_MS, this::sendBooking);
    Rig.sleep(4_000);
    rig.note("answers without end at the same time: %d at most", endlessMost.get());
    long open = bookings.values().stream().filter(ms -> ms < 0 || ms > TIMEOUT_MS).count();
    long late =
        bookings.values().stream().filter(ms -> ms < 0 || ms > TIMEOUT_MS + ANSWER_SLACK_MS).count();
    rig.note(
        "bookings: %d, without an answer at the timeout of 1.2 s: %d, still without 0.5 s later: %d",
        bookings.size(), open, late);
    return late < 8 || late * 2 <= open;
  }

  private interface Sender {
    void send(int number) throws Exception;
  }

  private static void repeat(long until, long intervalMillis, Sender sender) {
    for (int i = 0; System.nanoTime() < until; i++) {
      int number = i;
      Rig.daemon("client", () -> sender.send(number));
      Rig.sleep(intervalMillis);
    }
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

  private void sendStream(int number) throws Exception {
    String id = "s" + number;
    String fields =
        "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 20000\r\nX-Model: m\r\nX-Token-Usage: 826,250\r\n"
            + "X-Prompt-Prefix: 5c1e07a2:119,9" + number % 40 + ":79,e4" + number + ":628\r\n";
    Rig.Instance instance = rig.instances.get(number % rig.instances.size());
    try (Rig.Client client = new Rig.Client(instance.clients(), 21_000)) {
      Rig.Answer answer =
          client.call("POST", "/puxa400/" + id, "pule25.example", fields, new byte[830]);
      if (!answer.complete() || answer.status != 200) {
        rig.note("stream %s: status %d, %s", id, answer.status, answer.end);
      }
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

  /** Sends 58 events in 2.6 s, or the head, one event and bytes without end. */
  private boolean stream(Rig.Replica replica, Rig.Message request, OutputStream out, boolean faulty)
      throws Exception {
    Rig.sleep(60);
    out.write(
        Rig.bytes(
            "HTTP/1.1 200 OK\r\n" + replica.own(request)
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
    long now = System.nanoTime();
    boolean spoiled =
        faulty && now > faultyFrom && now < faultyUntil
            && (int) (answers.incrementAndGet() * FAULTY_SHARE)
                > (int) ((answers.get() - 1) * FAULTY_SHARE);
    if (spoiled) {
      sendWithoutEnd(request, out);
      return false;
    }
    for (int event = 1; event <= 58; event++) {
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

  /** Begins a chunk whose size is followed by an extension without end. */
  private void sendWithoutEnd(Rig.Message request, OutputStream out) throws IOException {
    int open = endlessNow.incrementAndGet();
    endlessMost.accumulateAndGet(open, Math::max);
    rig.note("%s is answered without end (%d at this time)", request.field("x-attempt-id"), open);
    byte[] bytes = new byte[16_384];
    java.util.Arrays.fill(bytes, (byte) 'x');
    try {
      out.write(Rig.bytes("20;"));
      while (true) {
        out.write(bytes);
      }
    } finally {
      endlessNow.decrementAndGet();
    }
  }
}
