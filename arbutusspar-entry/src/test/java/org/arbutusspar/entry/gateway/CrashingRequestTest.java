package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusspar.io.http.RawCall;
import org.arbutusspar.platform.standin.ReplicaStandin.Behaviour;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.junit.jupiter.api.Test;

/**
 * Tests instances with a request that crashes each replica which starts a response to it. Its
 * client sends it again and again, each time to another instance, beside sound requests.
 */
class CrashingRequestTest extends GatewayRig {

  private static final int INSTANCES = 3;
  private static final int REPLICAS = 4;

  /** Number of crashes after which the request should be known. */
  private static final int CRASHES_TO_DETECT = 3;

  /** Time to react to the last of these crashes, in nanoseconds. */
  private static final long REACTION_NANOS = 3_000_000_000L;

  /** Maximum number of later crashes, as each crash is one arrival at a replica. */
  private static final int MAX_LATE_CRASHES = 3;

  private static final long PAUSE_MILLIS = 100;

  /** Time in which as many crashes must happen as identify the request, in milliseconds. */
  private static final long MAX_DETECTION_MILLIS = 15_000;

  private final List<Instance> instances = new ArrayList<>();
  private final List<CompletableFuture<Integer>> soundReplies = new ArrayList<>();
  private final AtomicInteger sent = new AtomicInteger();

  private void startInstances() throws IOException {
    instances.addAll(startReadyInstances(INSTANCES));
  }

  private CrashingReplicas startReplicas(String service, Behaviour behaviour, String crashingPath) {
    CrashingReplicas replicas =
        CrashingReplicas.start(
            this,
            service,
            behaviour,
            REPLICAS,
            (replica, onCrash) -> replica.crashOnPath(crashingPath, onCrash));
    store.putReplica("i-1", "");
    return replicas;
  }

  private CompletableFuture<Integer> send(Instance instance, String target) {
    int number = sent.incrementAndGet();
    RawCall call =
        SampleTraffic.request(instance.settings().clients(), target, "r" + number, "key");
    String prompt = "common:8,own" + target.hashCode() + ":2";
    return client
        .fetch("test", SampleTraffic.withPrompt(call, prompt))
        .handle((reply, failure) -> failure == null ? reply.status() : 0);
  }

  /** Sends the crashing request and a sound one to the instances in turn. */
  private void sendBoth(String prefix) {
    Instance instance = instances.get(sent.get() / 2 % instances.size());
    send(instance, prefix + "bad");
    soundReplies.add(send(instance, prefix + "good" + sent.get()));
    sleep(PAUSE_MILLIS);
  }

  /** Sends requests until there have been some crashes, or for the time to detect them. */
  private void sendUntil(CrashingReplicas replicas, int crashes, String prefix) {
    long end = System.nanoTime() + MAX_DETECTION_MILLIS * 1_000_000;
    while (replicas.crashTimes().size() < crashes && System.nanoTime() - end < 0) {
      sendBoth(prefix);
    }
  }

  /**
   * Sends requests until the request should be known and for twice the time to react to it, and
   * checks that it is not sent on later.
   */
  private void assertNotSentOn(CrashingReplicas replicas, String prefix) {
    sendUntil(replicas, CRASHES_TO_DETECT, prefix);
    List<Long> crashes = replicas.crashTimes();
    assertTrue(crashes.size() >= CRASHES_TO_DETECT, crashes.size() + " crashes");
    long known = crashes.get(CRASHES_TO_DETECT - 1);
    while (System.nanoTime() - known < 2 * REACTION_NANOS) {
      sendBoth(prefix);
    }
    long late = crashes.stream().filter(time -> time - known > REACTION_NANOS).count();
    assertTrue(late <= MAX_LATE_CRASHES, late + " of " + crashes.size() + " crashes were late");
  }

  /** Checks that sound requests beside the crashing one are served after it is known. */
  private void assertSoundRequestsAreServed(String prefix) {
    for (Instance instance : instances) {
      await(() -> send(instance, prefix + "good").join() == 200);
    }
    long served = soundReplies.stream().filter(reply -> reply.join() == 200).count();
    assertTrue(
        served > soundReplies.size() / 2, served + " of " + soundReplies.size() + " were served");
  }

  /** Guards against the incident BUDGET: a repeated request crashed engine after engine. */
  @Test
  void requestThatCrashesEnginesIsNotSentOn() throws IOException {
    CrashingReplicas engines = startReplicas(SampleTraffic.ENGINE, Behaviour.STREAM, "/s/bad");
    startInstances();
    assertNotSentOn(engines, "/s/");
    assertSoundRequestsAreServed("/s/");
  }

  /** The system itself repeats requests that may run more than once. */
  @Test
  void idempotentRequestThatCrashesReplicasIsNotSentOn() throws IOException {
    CrashingReplicas replicas = startReplicas(SampleTraffic.PLAIN, Behaviour.RESPOND, "/q/bad");
    startInstances();
    assertNotSentOn(replicas, "/q/");
    assertSoundRequestsAreServed("/q/");
  }

  /** No instance sees the requests of the others to a service that each chooses replicas of. */
  @Test
  void requestThatMayRunOnceAndCrashesReplicasIsNotSentOn() throws IOException {
    CrashingReplicas replicas = startReplicas(SampleTraffic.PLAIN, Behaviour.RESPOND, "/b/bad");
    startInstances();
    assertNotSentOn(replicas, "/b/");
    assertSoundRequestsAreServed("/b/");
  }

  /** The evidence was lost with the instance that held it, so that the crashes went on. */
  @Test
  void crashesCountAfterInstancesHaveEnded() throws IOException {
    CrashingReplicas replicas = startReplicas(SampleTraffic.PLAIN, Behaviour.RESPOND, "/b/bad");
    startInstances();
    sendUntil(replicas, CRASHES_TO_DETECT - 1, "/b/");
    sleep(PAUSE_MILLIS);
    instances.remove(0).gateway().close();
    instances.remove(0).gateway().close();
    sendUntil(replicas, CRASHES_TO_DETECT, "/b/");
    sleep(REACTION_NANOS / 1_000_000);
    final int crashes = replicas.crashTimes().size();
    for (int i = 0; i < 20; i++) {
      sendBoth("/b/");
    }
    assertEquals(crashes, replicas.crashTimes().size());
    assertSoundRequestsAreServed("/b/");
  }

  /** All instances forgot the request in a restart, and more replicas crashed. */
  @Test
  void requestStaysBlockedAfterAllInstancesRestart() throws IOException {
    CrashingReplicas replicas = startReplicas(SampleTraffic.PLAIN, Behaviour.RESPOND, "/b/bad");
    startInstances();
    sendUntil(replicas, CRASHES_TO_DETECT, "/b/");
    await(() -> send(instances.get(0), "/b/bad").join() == 503);
    sleep(1_000);
    instances.forEach(instance -> instance.gateway().close());
    instances.clear();
    final int crashes = replicas.crashTimes().size();
    instances.add(startInstance("e-4", SECOND_ADDRESS, List.of()));
    await(() -> isReady(instances.get(0)));
    for (int i = 0; i < 20; i++) {
      sendBoth("/b/");
    }
    assertEquals(crashes, replicas.crashTimes().size());
    assertSoundRequestsAreServed("/b/");
  }
}
