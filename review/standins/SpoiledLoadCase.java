package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two instances, three replicas that book. Clients book at a steady pace and try once more after a
 * promise that a booking has not run. Two replicas spoil the X-Server-Load of one answer in 34.
 */
final class SpoiledLoadCase {

  private static final int BOOKINGS = 240;
  private static final long INTERVAL_MILLIS = 100;
  private static final long DEADLINE_MILLIS = 2_500;
  private static final int SPOILED_EVERY = 34;
  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

  private final Record record;
  private final boolean trouble;
  private final Set<String> ran = ConcurrentHashMap.newKeySet();
  private final Map<String, AtomicInteger> runsOfBooking = new ConcurrentHashMap<>();
  private final Map<String, Integer> refused = new ConcurrentHashMap<>();
  private final Map<Integer, Integer> statuses = new TreeMap<>();

  private SpoiledLoadCase(Record record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] args) {
    Case.main(
        args,
        (store, fleet, record, trouble) -> new SpoiledLoadCase(record, trouble).run(store, fleet));
  }

  private boolean run(Store store, Fleet fleet) throws Exception {
    store.put("keyed.op", "config", Config.text(1));
    for (int i = 0; i < 3; i++) {
      boolean faulty = i < 2;
      AtomicInteger answers = new AtomicInteger();
      String id = "i-" + (i + 1);
      new Replica(
          store,
          "127.0.0.1",
          id,
          Config.PLAIN,
          6,
          (request, body, out, socket) -> {
            String attempt = request.field("X-Attempt-Id");
            String booking = new String(body, StandardCharsets.ISO_8859_1);
            Thread.sleep(ThreadLocalRandom.current().nextInt(20, 45));
            ran.add(attempt);
            runsOfBooking.computeIfAbsent(booking, b -> new AtomicInteger()).incrementAndGet();
            boolean spoil =
                trouble && faulty && answers.incrementAndGet() % SPOILED_EVERY == 0;
            // The first number of the field has wrapped around below zero.
            String load = spoil ? "4294967295,0,6" : "1,0,6";
            record.line(
                "%s ran %s of %s and answers 200 with X-Server-Load %s", id, attempt, booking, load);
            Replica.write(
                out,
                Replica.head(request, "X-Server-Load: " + load + "\r\nContent-Length: 6\r\n")
                    + "booked");
          });
    }
    List<Fleet.Instance> instances = fleet.start(2);
    Thread.sleep(3_500);
    List<Thread> clients = new ArrayList<>();
    long start = System.nanoTime();
    for (int i = 0; i < BOOKINGS; i++) {
      Threads.sleepUntil(start + i * INTERVAL_MILLIS * 1_000_000);
      int number = i;
      clients.add(Threads.start("client", () -> book(number, instances)));
    }
    for (Thread client : clients) {
      client.join(5_000);
    }
    return report();
  }

  /** Books, and tries once more on a new connection if the booking is said not to have run. */
  private void book(int number, List<Fleet.Instance> instances) throws Exception {
    long until = System.nanoTime() + DEADLINE_MILLIS * 1_000_000;
    for (int attempt = 0; attempt < 2; attempt++) {
      long left = (until - System.nanoTime()) / 1_000_000;
      if (left < 50) {
        return;
      }
      String id = String.format("%08x%08x", number, attempt);
      Fleet.Instance instance = instances.get((number + attempt) % instances.size());
      try (Client client = new Client(instance.address(), (int) left)) {
        String booking = "booking-" + number;
        client.send(
            Client.head("POST", Config.HOST, Config.ACTION + "2f", id, left)
                + "Content-Length: "
                + booking.length()
                + "\r\n\r\n"
                + booking);
        Message answer = client.readHead();
        client.readBody(answer);
        count(answer.status());
        if (!PROMISES.contains(answer.status())) {
          return;
        }
        refused.put(id, answer.status());
        record.line(
            "client got %d for %s of %s, Retry-After %s",
            answer.status(), id, booking, answer.field("Retry-After"));
        double wait =
            answer.field("Retry-After").isEmpty()
                ? 0
                : Double.parseDouble(answer.field("Retry-After"));
        left = (until - System.nanoTime()) / 1_000_000;
        Thread.sleep((long) Math.max(0, Math.min(wait * 1_000, left / 3.0)));
      } catch (IOException e) {
        record.line("client got no answer for %s: %s", id, e.getMessage());
        return;
      }
    }
  }

  private synchronized void count(int status) {
    statuses.merge(status, 1, Integer::sum);
  }

  private boolean report() {
    record.line("answers by status: %s", statuses);
    long broken = 0;
    for (Map.Entry<String, Integer> entry : refused.entrySet()) {
      if (ran.contains(entry.getKey())) {
        broken++;
        record.line("REFUSED: %s was answered %d and has run", entry.getKey(), entry.getValue());
      }
    }
    runsOfBooking.forEach(
        (booking, runs) -> {
          if (runs.get() > 1) {
            record.line("%s was made %d times", booking, runs.get());
          }
        });
    record.line("%d requests were refused and have run", broken);
    return broken == 0;
  }
}
