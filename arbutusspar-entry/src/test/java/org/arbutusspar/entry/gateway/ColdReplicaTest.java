package org.arbutusspar.entry.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusspar.io.http.RawCall;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests several instances under load while replicas come back cold. They are empty, so each
 * instance would send most of its requests there, and their sum is what counts.
 */
class ColdReplicaTest extends GatewayRig {

  private static final int INSTANCES = 3;
  private static final int WARM_UP_SECONDS = 3;
  private static final long WARM_UP_MILLIS = WARM_UP_SECONDS * 1_000L;
  private static final double PER_SECOND = 4;

  /** The users' rule: one and a half times the rate and five requests in any second. */
  private static final double ALLOWED = 1.5 * PER_SECOND + 5;

  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long MEAN_PAUSE_MILLIS = 4;
  private static final List<String> SERVICES =
      List.of(SampleTraffic.ENGINE, SampleTraffic.PLAIN, SampleTraffic.WORKER);

  private final List<Instance> instances = new ArrayList<>();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();

  @BeforeEach
  void startInstances() throws IOException {
    store.putConfiguration(SampleTraffic.configuration(2, "key", WARM_UP_SECONDS, PER_SECOND));
    startReplica("p-1", SampleTraffic.PLAIN, "a", 0);
    instances.addAll(startReadyInstances(INSTANCES));
  }

  private ReplicaStandin startReplica(
      String id, String service, String dataCentre, long warmUpMillis) throws IOException {
    ReplicaStandin replica = closeAfterTest(ReplicaStandin.start(id, freeEndpoint(FIRST_ADDRESS)));
    store.putReplica(id, replica.listEntry(service, dataCentre, 2, warmUpMillis));
    return replica;
  }

  /** Starts a replica of each service at once, as when a whole data centre comes back. */
  private List<ReplicaStandin> startDataCentre(String suffix, long warmUpMillis)
      throws IOException {
    List<ReplicaStandin> replicas = new ArrayList<>();
    for (String service : SERVICES) {
      replicas.add(startReplica(service + suffix, service, "b", warmUpMillis));
    }
    return replicas;
  }

  /** Sends requests of all kinds to all instances in turn for a time. */
  private void sendFor(long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() - end < 0) {
      int number = sent.incrementAndGet();
      Instance instance = instances.get(number % INSTANCES);
      String target = List.of("/p/x", "/b/x", "/s/x", "/n/x").get(number / INSTANCES % 4);
      String id = "r" + number;
      RawCall call = SampleTraffic.request(instance.settings().clients(), target, id, "key");
      client
          .fetch("test", SampleTraffic.withPrompt(call, id + ":2"))
          .thenAccept(reply -> served.addAndGet(reply.status() == 200 ? 1 : 0));
      sleep(MEAN_PAUSE_MILLIS);
    }
  }

  private static int mostInOneSecond(ReplicaStandin replica, long from, long until) {
    List<Long> arrivals =
        replica.arrivals().stream()
            .map(ReplicaStandin.Arrival::nanos)
            .filter(at -> at - from >= 0 && at - until < 0)
            .sorted()
            .toList();
    int most = 0;
    int first = 0;
    for (int last = 0; last < arrivals.size(); last++) {
      while (arrivals.get(last) - arrivals.get(first) >= SECOND_NANOS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  private static void assertKeptCold(List<ReplicaStandin> replicas, long from, int seconds) {
    long until = from + seconds * SECOND_NANOS;
    int total = 0;
    for (ReplicaStandin replica : replicas) {
      int most = mostInOneSecond(replica, from, until);
      assertTrue(most <= ALLOWED, most + " requests in a second, allowed " + ALLOWED);
      total += most;
    }
    // A warm replica with room may be preferred for all requests of one service.
    assertTrue(total >= PER_SECOND, total + " requests in the seconds with most of each replica");
  }

  /** Checks that no instance limits a replica any more, and that the engine gets more. */
  private void assertUsedWhenWarm(List<ReplicaStandin> replicas) {
    sendFor(1_500);
    instances.forEach(instance -> assertEquals(0, coldReplicas(instance)));
    long from = System.nanoTime();
    sendFor(1_500);
    int most = mostInOneSecond(replicas.get(0), from, System.nanoTime());
    assertTrue(most > ALLOWED, most + " requests in a second to a warm engine");
  }

  private static int coldReplicas(Instance instance) {
    return new String(instance.gateway().metrics(), UTF_8)
        .lines()
        .filter(line -> line.startsWith("arbutusspar_cold_replicas "))
        .mapToInt(line -> (int) Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void dataCentreThatComesBackColdGetsItsRateFromAllInstancesTogether() throws IOException {
    sendFor(500);
    served.set(0);
    final long start = System.nanoTime();
    final List<ReplicaStandin> replicas = startDataCentre("-b", WARM_UP_MILLIS);
    sendFor(WARM_UP_MILLIS / 2);
    instances.forEach(instance -> assertEquals(SERVICES.size(), coldReplicas(instance)));
    sendFor(WARM_UP_MILLIS / 2);
    assertKeptCold(replicas, start, WARM_UP_SECONDS);
    assertTrue(served.get() > 100, served + " served meanwhile, by warm replicas");
    assertUsedWhenWarm(replicas);
  }

  /** The first entry of a restarted replica says nothing of its warm-up. */
  @Test
  void restartedReplicaIsColdBeforeItSaysSo() throws IOException {
    sendFor(500);
    final long start = System.nanoTime();
    final List<ReplicaStandin> replicas = startDataCentre("-b", 0);
    sendFor(WARM_UP_MILLIS);
    assertKeptCold(replicas, start, WARM_UP_SECONDS);
    assertUsedWhenWarm(replicas);
  }

  /** The replicas became cold while they got nothing, and the list does not say so. */
  @Test
  void dataCentreThatIsTakenBackCountsAsCold() throws IOException {
    final List<ReplicaStandin> replicas = startDataCentre("-b", 0);
    sendFor(WARM_UP_MILLIS + 1_000);
    store.putEvacuation("b");
    sendFor(1_500);
    final long start = System.nanoTime();
    store.removeEvacuation("b");
    sendFor(WARM_UP_MILLIS);
    assertKeptCold(replicas, start, WARM_UP_SECONDS);
    assertUsedWhenWarm(replicas);
  }

  @Test
  void replicaThatIsColdAgainGetsItsRateOnceItSaysSo() throws IOException {
    sendFor(500);
    final ReplicaStandin plain = startReplica("p-2", SampleTraffic.PLAIN, "b", 0);
    sendFor(WARM_UP_MILLIS + 1_000);
    store.putReplica("p-2", plain.listEntry(SampleTraffic.PLAIN, "b", 2, WARM_UP_MILLIS));
    sendFor(1_500);
    final long listed = System.nanoTime();
    sendFor(1_300);
    int most = mostInOneSecond(plain, listed, System.nanoTime());
    assertTrue(most <= ALLOWED, most + " requests in a second, allowed " + ALLOWED);
  }

  /** Each instance that starts knows of no other, and would give permits as the only one. */
  @Test
  void instancesThatStartTogetherKeepTheSum() throws IOException {
    store.putConfiguration(SampleTraffic.configuration(3, "key", 3 * WARM_UP_SECONDS, PER_SECOND));
    sendFor(500);
    final long start = System.nanoTime();
    final List<ReplicaStandin> replicas = startDataCentre("-b", 3 * WARM_UP_MILLIS);
    sendFor(1_500);
    instances.forEach(instance -> instance.gateway().close());
    instances.clear();
    for (int i = 1; i <= INSTANCES; i++) {
      instances.add(startInstance("e-" + i, "127.0.0." + i, List.of()));
    }
    sendFor(2 * WARM_UP_MILLIS);
    assertKeptCold(replicas, start, 3 * WARM_UP_SECONDS);
  }
}
