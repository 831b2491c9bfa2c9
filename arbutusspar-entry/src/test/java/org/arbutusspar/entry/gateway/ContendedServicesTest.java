package org.arbutusspar.entry.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.arbutusspar.io.http.RawReply;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.junit.jupiter.api.Test;

/** Tests an instance of a deployment whose callers compete for capacity. */
class ContendedServicesTest extends GatewayRig {

  private static final String WAIT_GAUGE = "arbutusspar_service_wait_milliseconds";

  private ReplicaStandin startPlainReplica(Instance instance) throws IOException {
    ReplicaStandin plain = closeAfterTest(ReplicaStandin.start("i-3", freeEndpoint(FIRST_ADDRESS)));
    store.putReplica("i-3", plain.listEntry(SampleTraffic.PLAIN, false));
    await(() -> call(instance, "/b/x", "w" + System.nanoTime(), "key").status() == 200);
    plain.executedHeaders().clear();
    return plain;
  }

  private List<RawReply> sendTogether(Instance instance, String target, int count) {
    List<CompletableFuture<RawReply>> replies = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      replies.add(send(instance, target, "r" + i + "-" + System.nanoTime(), "key"));
    }
    return replies.stream().map(CompletableFuture::join).toList();
  }

  /**
   * The replica has one slot and takes 120 ms for a request, so that the queue of a burst lasts for
   * longer than the target of 500 ms.
   */
  @Test
  void requestsThatWouldBeLateAreRejectedAtOnceAndServedLater() throws IOException {
    contended = true;
    Instance instance = startReadyInstance();
    ReplicaStandin plain = startPlainReplica(instance);
    plain.setCapacity(1, 100, 120);
    List<CompletableFuture<RawReply>> burst = new ArrayList<>();
    for (int i = 0; i < 14; i++) {
      burst.add(send(instance, "/b/x", "b" + i, "key"));
    }
    await(() -> new String(instance.gateway().metrics(), UTF_8).contains(WAIT_GAUGE + "{"));
    burst.get(11).join();
    long startNanos = System.nanoTime();
    RawReply rejected = call(instance, "/q/x", "q-1", "key");
    double millis = (System.nanoTime() - startNanos) / 1e6;
    assertEquals(503, rejected.status());
    assertTrue(millis < 100, millis + " ms");
    double seconds = Double.parseDouble(rejected.field("Retry-After").orElseThrow());
    assertTrue(seconds >= 0.02 && seconds < 1, seconds + " s");
    burst.forEach(CompletableFuture::join);
    await(() -> call(instance, "/q/x", "q" + System.nanoTime(), "key").status() == 200, 2_000);
    long served = burst.stream().filter(reply -> reply.join().status() == 200).count();
    assertEquals(served + 1, plain.executedHeaders().size(), "what was rejected was not run");
  }

  @Test
  void otherDeploymentsBoundEachReplicaAsBefore() throws IOException {
    Instance instance = startReadyInstance();
    ReplicaStandin plain = startPlainReplica(instance);
    plain.setCapacity(8, 100, 500);
    List<RawReply> replies = sendTogether(instance, "/b/x", 40);
    long served = replies.stream().filter(reply -> reply.status() == 200).count();
    assertTrue(served <= 16, served + " served at once by 8 slots with as many queued");
    assertFalse(new String(instance.gateway().metrics(), UTF_8).contains(WAIT_GAUGE));
  }
}
