package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.arbutusspar.core.balancing.Rendezvous;
import org.arbutusspar.io.http.RawReply;
import org.arbutusspar.io.link.PeerMessage;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests requests that wait in the queue of a placer, where callers compete for capacity, while that
 * placer fails. Each request must end within its own deadline and run once.
 */
class WaitingAtPlacerTest extends GatewayRig {

  private static final Set<String> ROLES = Set.of(EnginePlacement.role(SampleTraffic.ENGINE));

  /** Longest time that an instance may rely on a placer that has failed, in milliseconds. */
  private static final long MAX_DECISION_MILLIS = 1_000;

  private FakePeer placer;
  private Instance instance;

  @BeforeEach
  void startWaitingPlacer() throws IOException {
    contended = true;
    placer = closeAfterTest(FakePeer.start("r-1", freeEndpoint("127.0.0.11")));
    placer.announceRoles(ROLES);
    instance = startInstance("e-1", FIRST_ADDRESS, List.of(placer.links()));
    await(() -> call(instance, "/p/x", "w" + System.nanoTime(), "key").status() == 200);
    await(
        () ->
            call(instance, "/p/x", "w" + System.nanoTime(), "key").status() == 200
                && !placer.placements().isEmpty());
    placer.answerWithWait(true);
  }

  /** Sends a request and waits until it waits at the placer. */
  private CompletableFuture<RawReply> sendAndWait(String id) {
    CompletableFuture<RawReply> reply = send(instance, "/p/x", id, "key");
    await(() -> asked(placer, id) >= 2);
    return reply;
  }

  private static long asked(FakePeer peer, String id) {
    return peer.placements().stream()
        .filter(m -> m instanceof PeerMessage.PlaceRequest p && p.request().id().equals(id))
        .count();
  }

  private static boolean hasEnded(FakePeer peer, String id) {
    return peer.placements().stream()
        .anyMatch(
            m ->
                m instanceof PeerMessage.PlacementUpdate update
                    && update.requestId().equals(id)
                    && update.state() == PeerMessage.RunState.ENDED);
  }

  private void assertServedOnce(CompletableFuture<RawReply> reply, String id) {
    await(reply::isDone, MAX_DECISION_MILLIS);
    assertEquals(200, reply.join().status());
    long runs =
        engine.executedHeaders().stream()
            .filter(fields -> id.equals(fields.get("X-Attempt-Id")))
            .count();
    assertEquals(1, runs);
  }

  @Test
  void requestIsPlacedElsewhereIfThePlacerDies() {
    CompletableFuture<RawReply> reply = sendAndWait("r1");
    placer.close();
    assertServedOnce(reply, "r1");
  }

  @Test
  void requestIsPlacedElsewhereIfThePlacerFreezes() {
    CompletableFuture<RawReply> reply = sendAndWait("r1");
    placer.answerWithWait(false);
    assertServedOnce(reply, "r1");
    await(() -> hasEnded(placer, "r1"), MAX_DECISION_MILLIS);
  }

  /** A placer that was cut off still holds the request in its queue, and places it later. */
  @Test
  void placeOfPlacerThatWasCutOffIsNotUsed() {
    CompletableFuture<RawReply> reply = sendAndWait("r1");
    placer.answerWithWait(false);
    placer.dropLinks();
    await(reply::isDone, MAX_DECISION_MILLIS);
    await(placer::isConnected);
    placer.sendToAll(new PeerMessage.PlaceResponse("r1", "i-1"));
    sleep(200);
    assertServedOnce(reply, "r1");
  }

  /** Returns the name of a peer that holds the role although instances have used it just now. */
  private static String nextHolder() {
    String role = EnginePlacement.role(SampleTraffic.ENGINE);
    return IntStream.range(2, 100)
        .mapToObj(number -> "r-" + number)
        .filter(name -> Rendezvous.top(List.of("e-1", "e-2", name), n -> n, role, 1).contains(name))
        .findFirst()
        .orElseThrow();
  }

  @Test
  void requestIsAskedForAgainWhenTheRoleMoves() throws IOException {
    FakePeer next = closeAfterTest(FakePeer.start(nextHolder(), freeEndpoint("127.0.0.12")));
    next.answerWithWait(true);
    next.announceRoles(Set.of());
    Instance second = startInstance("e-2", SECOND_ADDRESS, List.of(placer.links(), next.links()));
    placer.answerWithWait(false);
    await(
        () ->
            call(second, "/p/x", "w" + System.nanoTime(), "key").status() == 200
                && placer.placements().stream()
                    .anyMatch(
                        m ->
                            m instanceof PeerMessage.PlaceRequest p
                                && p.request().origin().equals("e-2")));
    placer.answerWithWait(true);
    instance = second;
    final CompletableFuture<RawReply> reply = sendAndWait("r1");
    placer.announceRoles(Set.of());
    next.announceRoles(ROLES);
    await(() -> asked(next, "r1") > 0, MAX_DECISION_MILLIS);
    await(() -> hasEnded(placer, "r1"), MAX_DECISION_MILLIS);
    next.sendToAll(new PeerMessage.PlaceResponse("r1", "i-1"));
    assertServedOnce(reply, "r1");
  }

  @Test
  void requestThatWaitsUntilItsDeadlineIsRejectedAsNotRun() {
    CompletableFuture<RawReply> reply = sendAndWait("r1");
    await(reply::isDone, 3_000);
    assertEquals(503, reply.join().status());
    await(() -> hasEnded(placer, "r1"), MAX_DECISION_MILLIS);
  }

  /** The engine has 8 slots, of which 8 requests take 0.9, and rejects any request beyond. */
  @Test
  void requestsOfAllInstancesWaitForTheSlotsOfOneEngine() throws IOException {
    placer.close();
    List<Instance> instances = new ArrayList<>(List.of(instance));
    instances.add(startInstance("e-2", SECOND_ADDRESS, List.of(instance.settings().links())));
    await(() -> instances.stream().allMatch(this::isReady));
    engine.setCapacity(8, 0, 100);
    for (int i = 0; i < 16; i++) {
      // The placer learns how long requests take.
      call(instances.get(i % 2), "/p/x", "w" + i, "key");
    }
    List<CompletableFuture<RawReply>> replies = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      replies.add(send(instances.get(i % 2), "/p/x", "r" + i, "key"));
    }
    long served = replies.stream().filter(reply -> reply.join().status() == 200).count();
    assertTrue(served == replies.size(), served + " of " + replies.size() + " served");
  }
}
