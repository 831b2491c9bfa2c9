package review;

import java.util.ArrayList;
import java.util.List;

/**
 * Two instances, three replicas of a model. One instance gets SIGTERM, and streams that were sent
 * to it just after pause once for 5 s, as if the replica had preempted them.
 */
final class SilentStreamCase {

  private static final int STREAMS = 5;
  private static final int EVENTS = 10;
  private static final int PAUSE_AFTER = 5;
  private static final long PAUSE_MILLIS = 5_000;
  private static final long USUAL_MILLIS = 100;

  private SilentStreamCase() {}

  public static void main(String[] args) {
    Case.main(args, SilentStreamCase::run);
  }

  private static boolean run(Store store, Fleet fleet, Record record, boolean trouble)
      throws Exception {
    store.put("keyed.op", "config", Config.text(1));
    List<StreamReplica> replicas = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      replicas.add(
          new StreamReplica(
              store,
              record,
              "i-" + i,
              EVENTS,
              PAUSE_AFTER,
              trouble ? PAUSE_MILLIS : USUAL_MILLIS));
    }
    Fleet.Instance instance = fleet.start(2).get(0);
    Thread.sleep(3_500);
    List<StreamClient> clients = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      StreamClient client = new StreamClient(record, instance.address(), "a" + i);
      clients.add(client);
    }
    long signalAt = fleet.terminate(instance);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      Threads.sleepUntil(signalAt + (100 + 100L * i) * 1_000_000);
      StreamClient client = clients.get(i);
      threads.add(Threads.start("client", client::run));
    }
    for (Thread thread : threads) {
      thread.join(20_000);
    }
    return LostRule.check(record, clients, replicas, signalAt);
  }
}
