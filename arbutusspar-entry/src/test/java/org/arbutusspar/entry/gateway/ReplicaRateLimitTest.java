package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusspar.io.http.RawCall;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.junit.jupiter.api.Test;

/**
 * Tests several instances with a replica that states a limit on the rate of the requests that it
 * takes from all of them together. The instances decide apart from each other, so each could keep
 * to the limit while their sum exceeds it.
 */
class ReplicaRateLimitTest extends GatewayRig {

  private static final int INSTANCES = 3;
  private static final double LIMIT = 1.7;

  /** Run long enough for one window after the limit binds. */
  private static final long RUN_MILLIS = 8_000;

  private static final long MEAN_PAUSE_MILLIS = 8;

  private final List<Instance> instances = new ArrayList<>();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();

  private void startInstances() throws IOException {
    instances.addAll(startReadyInstances(INSTANCES));
  }

  private ReplicaStandin addReplica(String id, String service) throws IOException {
    ReplicaStandin replica = closeAfterTest(ReplicaStandin.start(id, freeEndpoint(FIRST_ADDRESS)));
    store.putReplica(id, replica.listEntry(service, false));
    return replica;
  }

  private CompletableFuture<Integer> send(Instance instance, String target) {
    String id = "r" + sent.incrementAndGet();
    RawCall call = SampleTraffic.request(instance.settings().clients(), target, id, "key");
    return client
        .fetch("test", SampleTraffic.withPrompt(call, "p" + sent.get() % 50 + ":8," + id + ":2"))
        .handle(
            (reply, failure) -> {
              int status = failure == null ? reply.status() : 0;
              if (status == 200) {
                served.incrementAndGet();
              }
              return status;
            });
  }

  /** Sends requests to all instances in turn for a time. */
  private void sendFor(long millis, String target) {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() - end < 0) {
      send(instances.get(sent.get() % INSTANCES), target);
      sleep(MEAN_PAUSE_MILLIS);
    }
  }

  private void assertWithinLimit(ReplicaStandin limited) {
    int most = RateLimitRule.mostInWindow(limited);
    double allowed = RateLimitRule.allowed(LIMIT);
    assertTrue(most <= allowed, most + " requests in 4 s, allowed " + allowed);
  }

  /** Guards against the incident LIMIT: no instance kept to the limit of an engine. */
  @Test
  void engineGetsNoMoreThanItsLimitFromAllInstances() throws IOException {
    final ReplicaStandin limited = addReplica("i-3", SampleTraffic.ENGINE);
    startInstances();
    sendFor(1_000, "/p/x");
    limited.stateLimit(String.valueOf(LIMIT));
    sendFor(RUN_MILLIS, "/p/x");
    assertWithinLimit(limited);
  }

  /** Each instance chooses among the replicas of such a service itself. */
  @Test
  void plainReplicaGetsNoMoreThanItsLimitFromAllInstances() throws IOException {
    addReplica("i-3", SampleTraffic.PLAIN);
    final ReplicaStandin limited = addReplica("i-4", SampleTraffic.PLAIN);
    startInstances();
    sendFor(1_000, "/b/x");
    limited.stateLimit(String.valueOf(LIMIT));
    sendFor(RUN_MILLIS, "/b/x");
    assertWithinLimit(limited);
  }

  /** Calls for pieces, releases of results and memory queries all count. */
  @Test
  void workerGetsNoMoreThanItsLimitFromAllInstances() throws IOException {
    final ReplicaStandin limited = addReplica("i-3", SampleTraffic.WORKER);
    startInstances();
    sendFor(1_000, "/s/x");
    limited.stateLimit(String.valueOf(LIMIT));
    sendFor(RUN_MILLIS, "/s/x");
    assertWithinLimit(limited);
  }

  /**
   * A limit that is kept by sending nothing serves nobody, and one that has ended must not stay.
   */
  @Test
  void limitIsUsedWhileItHoldsAndDroppedWhenItEnds() throws IOException {
    startInstances();
    sendFor(500, "/p/x");
    engine.stateLimit(String.valueOf(LIMIT));
    sendFor(1_000, "/p/x");
    served.set(0);
    sendFor(6_000, "/p/x");
    double used = served.get() / (LIMIT * 6);
    assertTrue(used >= 0.85, used + " of the limit used");
    engine.stateLimit("");
    sendFor(1_000, "/p/x");
    assertEquals(200, send(instances.get(0), "/p/x").join());
    served.set(0);
    sendFor(1_000, "/p/x");
    assertTrue(served.get() > 30, served + " served in a second after the limit");
  }
}
