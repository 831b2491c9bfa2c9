package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Two instances, three replicas of a model whose streams last 4.5 s. One instance gets SIGTERM.
 * Clients that keep their list of addresses for 6 s send it a stream each 200 ms.
 */
final class LateStreamCase {

  private static final int EVENTS = 45;
  private static final long FIRST_MILLIS = -950;
  private static final long LAST_MILLIS = 4_050;
  private static final long INTERVAL_MILLIS = 200;

  private LateStreamCase() {}

  public static void main(String[] args) {
    Case.main(args, LateStreamCase::run);
  }

  private static boolean run(Store store, Fleet fleet, Record record, boolean trouble)
      throws Exception {
    store.put("keyed.op", "config", Config.text(1));
    List<StreamReplica> replicas = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      replicas.add(new StreamReplica(store, record, "i-" + i, EVENTS, 0, 0));
    }
    Fleet.Instance instance = fleet.start(2).get(0);
    Thread.sleep(3_500);
    List<StreamClient> clients = new ArrayList<>();
    for (long at = FIRST_MILLIS; at <= LAST_MILLIS; at += INTERVAL_MILLIS) {
      StreamClient client =
          new StreamClient(record, instance.address(), "a" + Long.toHexString(at - FIRST_MILLIS));
      clients.add(client);
    }
    long plannedAt = System.nanoTime() - FIRST_MILLIS * 1_000_000;
    AtomicLong signalAt = new AtomicLong(plannedAt);
    List<Thread> threads = new ArrayList<>();
    if (trouble) {
      Threads.start(
          "signal",
          () -> {
            Threads.sleepUntil(plannedAt);
            signalAt.set(fleet.terminate(instance));
          });
    }
    for (int i = 0; i < clients.size(); i++) {
      Threads.sleepUntil(plannedAt + (FIRST_MILLIS + i * INTERVAL_MILLIS) * 1_000_000);
      StreamClient client = clients.get(i);
      threads.add(Threads.start("client", client::run));
    }
    for (Thread thread : threads) {
      thread.join(20_000);
    }
    return LostRule.check(record, clients, replicas, signalAt.get());
  }
}
