package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.arbutusspar.io.http.RawCall;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.ReplicaStandin.Behaviour;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.junit.jupiter.api.Test;

/**
 * Tests instances with replicas that announce in their responses that they are shutting down, or
 * that they want no requests for some time.
 */
class ReplicaAnnouncementsTest extends GatewayRig {

  private static final double BACKOFF_SECONDS = 2;

  /** Time that a replica allows for requests that are under way, in nanoseconds. */
  private static final long UNDER_WAY_NANOS = 500_000_000L;

  private int sent;

  private int status(Instance instance, String target) {
    return send(instance, target).join();
  }

  /** Sends a request with a prompt of its own; its status is 0 if there is no response. */
  private CompletableFuture<Integer> send(Instance instance, String target) {
    String id = "a" + sent++;
    RawCall call = SampleTraffic.request(instance.settings().clients(), target, id, "key");
    return client
        .fetch("test", SampleTraffic.withPrompt(call, "p" + sent + ":9,own:2"))
        .handle((reply, failure) -> failure == null ? reply.status() : 0);
  }

  private ReplicaStandin addReplica(String id, String service) throws IOException {
    ReplicaStandin replica = closeAfterTest(ReplicaStandin.start(id, freeEndpoint(FIRST_ADDRESS)));
    store.putReplica(id, replica.listEntry(service, false));
    return replica;
  }

  /** Sends several requests together, since at low load only the fastest worker is called. */
  private void sendTogether(Instance instance, String target) {
    List<CompletableFuture<Integer>> replies =
        IntStream.range(0, 12).mapToObj(i -> send(instance, target)).toList();
    replies.forEach(CompletableFuture::join);
  }

  /** Sends requests until a replica has received one. */
  private void sendUntilReceived(Instance instance, String target, ReplicaStandin replica) {
    await(
        () -> {
          sendTogether(instance, target);
          return !replica.receivedNanos().isEmpty();
        });
  }

  /** The list of replicas names a leaving replica late or never, so it got further requests. */
  @Test
  void engineThatAnnouncesItsShutdownGetsNothingMore() throws IOException {
    Instance instance = startReadyInstance();
    final ReplicaStandin leaving = addReplica("i-3", SampleTraffic.ENGINE);
    leaving.announceLeaving(true);
    sendUntilReceived(instance, "/p/x", leaving);
    int received = leaving.receivedNanos().size();
    for (int i = 0; i < 30; i++) {
      assertEquals(200, status(instance, i % 2 == 0 ? "/p/x" : "/s/x"));
    }
    assertEquals(received, leaving.receivedNanos().size());
  }

  @Test
  void workerThatAnnouncesItsShutdownGetsNothingMore() throws IOException {
    final Instance instance = startReadyInstance();
    final ReplicaStandin leaving = addReplica("i-3", SampleTraffic.WORKER);
    leaving.announceLeaving(true);
    sendUntilReceived(instance, "/s/x", leaving);
    int pieces = leaving.computedPieces().size();
    for (int i = 0; i < 20; i++) {
      assertEquals(200, status(instance, "/s/x"));
    }
    assertEquals(pieces, leaving.computedPieces().size());
  }

  /** The announcement belongs to one incarnation; its successor may keep the identifier. */
  @Test
  void successorOfLeavingReplicaIsUsed() throws IOException {
    Instance instance = startReadyInstance();
    engine.announceLeaving(true);
    await(() -> status(instance, "/p/x") == 503);
    engine.announceLeaving(false);
    String entry = engine.listEntry(SampleTraffic.ENGINE, false);
    store.putReplica("i-1", entry.replace("\"born\":1", "\"born\":2"));
    await(() -> status(instance, "/p/x") == 200);
  }

  @Test
  void engineThatWantsNoRequestsGetsNone() throws IOException {
    Instance instance = startReadyInstance();
    ReplicaStandin paused = addReplica("i-3", SampleTraffic.ENGINE);
    paused.rejectWithBackoff(String.valueOf(BACKOFF_SECONDS));
    sendUntilReceived(instance, "/p/x", paused);
    assertFewRequestsUntilEndOfBackoff(instance, "/s/x", paused);
  }

  @Test
  void workerThatWantsNoRequestsGetsNone() throws IOException {
    Instance instance = startReadyInstance();
    final ReplicaStandin paused = addReplica("i-3", SampleTraffic.WORKER);
    // The worker has results to be released when it asks for the pause.
    await(
        () -> {
          sendTogether(instance, "/s/x");
          return !paused.computedPieces().isEmpty();
        });
    paused.rejectWithBackoff(String.valueOf(BACKOFF_SECONDS));
    paused.receivedNanos().clear();
    sendUntilReceived(instance, "/s/x", paused);
    assertFewRequestsUntilEndOfBackoff(instance, "/s/x", paused);
  }

  private void assertFewRequestsUntilEndOfBackoff(
      Instance instance, String target, ReplicaStandin paused) {
    long first = paused.receivedNanos().get(0);
    long end = first + (long) (BACKOFF_SECONDS * 1e9);
    // A request that starts shortly before the end may be sent to the replica after it.
    while (System.nanoTime() - end < -UNDER_WAY_NANOS / 2) {
      assertEquals(200, status(instance, target));
    }
    sleep((end - System.nanoTime()) / 1_000_000 + 1);
    paused.rejectWithBackoff("");
    List<Long> late =
        paused.receivedNanos().stream()
            .filter(t -> t - first > UNDER_WAY_NANOS && t - end < 0)
            .toList();
    assertTrue(late.size() <= 2, late.size() + " requests in the pause");
    int before = paused.receivedNanos().size();
    await(
        () -> {
          sendTogether(instance, target);
          return paused.receivedNanos().size() > before;
        });
  }

  /** A request that no replica can serve before its deadline ran its stages first. */
  @Test
  void requestsAreRejectedAtOnceWhileAllEnginesWantNone() throws IOException {
    Instance instance = startReadyInstance();
    engine.setBehaviour(Behaviour.STREAM);
    engine.rejectWithBackoff("30");
    await(() -> status(instance, "/s/x") == 503);
    int pieces = worker.computedPieces().size();
    for (int i = 0; i < 5; i++) {
      assertEquals(503, status(instance, "/s/x"));
    }
    assertEquals(pieces, worker.computedPieces().size());
  }
}
