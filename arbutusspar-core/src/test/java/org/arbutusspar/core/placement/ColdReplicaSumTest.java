package org.arbutusspar.core.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.routing.WarmUp;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Replays a replica that starts again and again while everyone comes, on a virtual clock: holders
 * of the role die, a part of the instances is cut off, instances start without memory, and each
 * instance learns of everything at a time of its own.
 */
class ColdReplicaSumTest {

  private static final int SEEDS = 50;
  private static final long RUN_MILLIS = 30_000;
  private static final long WARM_UP_MILLIS = 3_000;
  private static final long START_INTERVAL_MILLIS = 5_000;

  /** Time after a start at which the last instance has read the entry of the replica. */
  private static final int LIST_SPREAD_MILLIS = 1_000;

  /** Time within which all instances notice that a holder has died or a part is cut off. */
  private static final int NOTICE_MILLIS = 400;

  private static final int HOLDERS = 5;
  private static final double DEMAND_FACTOR = 6;
  private static final double CUT_SHARE = 0.3;

  private final List<Long> arrivals = new ArrayList<>();

  /** A fault from a time on until the next one. */
  private record Epoch(long fromMillis, int holder, boolean cut) {}

  /** One instance with what it knows of the faults. */
  private static final class Instance {
    private final int number;
    private final long noticeMillis;
    private final long listMillis;
    private ColdReplicas cold;
    private ReplicaRateLimits limits;
    private int listedStart = -1;

    private Instance(int number, Random random) {
      this.number = number;
      noticeMillis = random.nextInt(NOTICE_MILLIS);
      listMillis = random.nextInt(LIST_SPREAD_MILLIS);
    }
  }

  private static UpstreamReplica replica(int start) {
    return new UpstreamReplica(
        "r", "s", new Endpoint("10.0.0.1", 80), DataCentre.of("a"), 8, false, start + 1);
  }

  private static boolean isCutOff(int number, int size) {
    return number >= size * (1 - CUT_SHARE);
  }

  private static Epoch epoch(List<Epoch> epochs, long atMillis) {
    Epoch current = epochs.get(0);
    for (Epoch epoch : epochs) {
      current = epoch.fromMillis <= atMillis ? epoch : current;
    }
    return current;
  }

  /** Returns the holder as an instance knows it: in a cut-off part, its first instance. */
  private static int holder(Instance instance, int size, List<Epoch> epochs, long atMillis) {
    Epoch epoch = epoch(epochs, atMillis - instance.noticeMillis);
    return epoch.cut && isCutOff(instance.number, size)
        ? (int) Math.ceil(size * (1 - CUT_SHARE))
        : epoch.holder;
  }

  private static double share(Instance instance, int size, List<Epoch> epochs, long atMillis) {
    if (holder(instance, size, epochs, atMillis) != instance.number) {
      return 0;
    }
    boolean cut = epoch(epochs, atMillis - instance.noticeMillis).cut;
    double own = isCutOff(instance.number, size) ? CUT_SHARE : 1 - CUT_SHARE;
    return cut ? own : 1;
  }

  private void start(Instance instance, int size, List<Epoch> epochs, WarmUp warmUp, long at) {
    instance.cold = ColdReplicas.create();
    instance.cold.warmUps(Map.of("s", warmUp), at);
    instance.cold.onListed(List.of(replica(-1)), at);
    instance.limits =
        ReplicaRateLimits.create(
            (service, now) -> share(instance, size, epochs, (long) Nanos.toMillis(now)),
            instance.cold,
            new ColdBound(1.5, 5));
  }

  /** Sends a request through the instance that its origin takes for the holder. */
  private void send(List<Instance> instances, Instance origin, List<Epoch> epochs, long at) {
    int size = instances.size();
    long atMillis = (long) Nanos.toMillis(at);
    int chosen = holder(origin, size, epochs, atMillis);
    boolean separated =
        epoch(epochs, atMillis).cut && isCutOff(chosen, size) != isCutOff(origin.number, size);
    Instance decider = separated ? origin : instances.get(chosen);
    int start = (int) ((atMillis - decider.listMillis) / START_INTERVAL_MILLIS);
    if (atMillis - decider.listMillis >= 0 && start != decider.listedStart) {
      decider.listedStart = start;
      decider.cold.onListed(List.of(replica(start)), at);
    }
    decider.cold.update(at);
    UpstreamReplica replica = replica(decider.listedStart);
    boolean reachesStart =
        decider.listedStart == atMillis / START_INTERVAL_MILLIS
            && decider.limits.isAvailable(replica, at);
    if (reachesStart) {
      decider.limits.take(replica, at);
      if (atMillis % START_INTERVAL_MILLIS < WARM_UP_MILLIS) {
        arrivals.add(at);
      }
    }
  }

  private void play(int size, double perSecond, int seed) {
    Random random = new Random(seed);
    WarmUp warmUp = new WarmUp(WARM_UP_MILLIS, perSecond);
    List<Epoch> epochs = new ArrayList<>();
    for (long at = 0; at < RUN_MILLIS; at += 1_000 + random.nextInt(3_000)) {
      epochs.add(new Epoch(at, random.nextInt(Math.min(HOLDERS, size / 2)), random.nextBoolean()));
    }
    List<Instance> instances = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      instances.add(new Instance(i, random));
      start(instances.get(i), size, epochs, warmUp, 0);
    }
    double demand = perSecond * DEMAND_FACTOR;
    arrivals.clear();
    for (double at = 0; at < RUN_MILLIS; at -= Math.log(1 - random.nextDouble()) / demand * 1e3) {
      long now = (long) (at * 1e6);
      if (random.nextInt(100) == 0) {
        Instance restarted = instances.get(random.nextInt(size));
        start(restarted, size, epochs, warmUp, now);
        restarted.listedStart = -1;
      }
      send(instances, instances.get(random.nextInt(size)), epochs, now);
    }
    // Requests reach the replica after delays of their own.
    arrivals.replaceAll(at -> at + Nanos.ofMillis(random.nextInt(20) == 0 ? 60 : 3));
    arrivals.sort(Comparator.naturalOrder());
  }

  private int mostInOneSecond() {
    int most = 0;
    int first = 0;
    for (int last = 0; last < arrivals.size(); last++) {
      while (arrivals.get(last) - arrivals.get(first) >= Nanos.ofMillis(1_000)) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  @ParameterizedTest
  @CsvSource({"6, 10", "30, 10", "80, 10", "300, 10", "80, 1", "80, 100"})
  void sumIsKeptOverAllInstances(int size, double perSecond) {
    double used = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      play(size, perSecond, seed);
      double allowed = 1.5 * perSecond + 5;
      int most = mostInOneSecond();
      assertTrue(most <= allowed, most + " in a second, allowed " + allowed + ", seed " + seed);
      used += arrivals.size() / (perSecond * WARM_UP_MILLIS / 1e3 * 6) / SEEDS;
    }
    // Until the replica is listed, at most a second of its three, nothing can be sent to it.
    assertTrue(used >= 0.6, used + " of the rate used while cold");
  }

  /** The baseline: each instance keeps to the rate on its own. */
  @Test
  void limitersOfEachInstanceBreakTheSum() {
    WarmUp warmUp = new WarmUp(WARM_UP_MILLIS, 10);
    int sent = 0;
    for (int i = 0; i < 80; i++) {
      ColdReplicas cold = ColdReplicas.create();
      cold.warmUps(Map.of("s", warmUp), 0);
      cold.onListed(List.of(replica(0).withWarmUp(WARM_UP_MILLIS)), 0);
      ReplicaRateLimits limits =
          ReplicaRateLimits.create((service, now) -> 1, cold, new ColdBound(1.5, 5));
      sent += limits.isAvailable(replica(0), Nanos.ofMillis(1_000)) ? 1 : 0;
    }
    assertTrue(sent > 20, sent + " in a second");
  }
}
