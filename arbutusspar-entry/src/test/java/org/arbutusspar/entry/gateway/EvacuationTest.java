package org.arbutusspar.entry.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.arbutusspar.io.http.RawCall;
import org.arbutusspar.io.http.RawReply;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.arbutusspar.platform.standin.StoreStandin;
import org.junit.jupiter.api.Test;

/**
 * Tests several instances while operators evacuate a data centre, "b", and take that back. Of five
 * instances not all read the store themselves.
 */
class EvacuationTest extends GatewayRig {

  private static final int INSTANCES = 5;
  private static final String EVACUATED = "b";

  /** The users' bound on the time from the store's acknowledgement, for instances in touch. */
  private static final long IN_FORCE_MILLIS = 5_000;

  private final List<Instance> instances = new ArrayList<>();
  private final List<ReplicaStandin> evacuated = new ArrayList<>();
  private int sent;

  /** Starts a replica of each service in the data centre that is evacuated, and one in another. */
  private void startReplicas() throws IOException {
    for (String service :
        List.of(SampleTraffic.ENGINE, SampleTraffic.WORKER, SampleTraffic.PLAIN)) {
      evacuated.add(startReplica(service, EVACUATED));
    }
    startReplica(SampleTraffic.PLAIN, "a");
  }

  private ReplicaStandin startReplica(String service, String dataCentre) throws IOException {
    String id = service + "-" + dataCentre;
    ReplicaStandin replica = closeAfterTest(ReplicaStandin.start(id, freeEndpoint(FIRST_ADDRESS)));
    store.putReplica(id, replica.listEntry(service, dataCentre, 1, 0));
    return replica;
  }

  private void startAll() throws IOException {
    startReplicas();
    instances.addAll(startReadyInstances(INSTANCES));
    await(() -> served() && evacuated.stream().allMatch(r -> !r.arrivals().isEmpty()));
  }

  /** Sends a request of each kind to each instance and returns whether all are served. */
  private boolean served() {
    return statuses().stream().allMatch(status -> status == 200);
  }

  private List<Integer> statuses() {
    return Stream.of("/p/x", "/n/x", "/b/x", "/s/x")
        .flatMap(target -> statuses(target).stream())
        .toList();
  }

  /** Sends a request to each instance at once; one replica has room for all of them. */
  private List<Integer> statuses(String target) {
    return instances.stream().map(instance -> sendWithOwnPrompt(instance, target)).toList().stream()
        .map(reply -> reply.handle((r, failure) -> failure == null ? r.status() : 0).join())
        .toList();
  }

  private CompletableFuture<RawReply> sendWithOwnPrompt(Instance instance, String target) {
    String id = "r" + sent++;
    RawCall call = SampleTraffic.request(instance.settings().clients(), target, id, "key");
    return client.fetch("test", SampleTraffic.withPrompt(call, id + ":2"));
  }

  private void awaitNothingArrives() {
    await(
        () -> {
          clearArrivals();
          return served() && noneArrived();
        },
        IN_FORCE_MILLIS);
  }

  private void clearArrivals() {
    evacuated.forEach(replica -> replica.arrivals().clear());
  }

  private boolean noneArrived() {
    return evacuated.stream().allMatch(replica -> replica.arrivals().isEmpty());
  }

  /** Sends requests for a time and checks that all are served, and none in the data centre. */
  private void assertEvacuatedFor(long millis) {
    clearArrivals();
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() - end < 0) {
      assertEquals(List.of(), statuses().stream().filter(status -> status != 200).toList());
      assertTrue(noneArrived());
    }
  }

  /** Guards against the incident EVAC: requests went on to replicas in the data centre. */
  @Test
  void nothingIsSentToEvacuatedDataCentreUntilItIsTakenBack() throws IOException {
    startAll();
    store.putEvacuation(EVACUATED);
    awaitNothingArrives();
    assertEvacuatedFor(2_000);
    store.removeEvacuation(EVACUATED);
    await(() -> served() && evacuated.stream().allMatch(r -> !r.arrivals().isEmpty()));
  }

  @Test
  void unknownDataCentreAndMalformedRecordsChangeNothing() throws IOException {
    startAll();
    clearArrivals();
    store.putEvacuation("nowhere");
    store.putEvacuation("Not a name");
    store.putEvacuation("");
    store.put("keyed.op", "evacuated", "{}");
    sleep(500);
    await(() -> served() && evacuated.stream().allMatch(r -> !r.arrivals().isEmpty()));
  }

  @Test
  void valueOfTheRecordDoesNotMatter() throws IOException {
    startAll();
    store.put("keyed.op", "evacuate/" + EVACUATED, "{broken");
    awaitNothingArrives();
  }

  @Test
  void overlappingEvacuationsEndOnTheirOwn() throws IOException {
    startAll();
    store.putEvacuation(EVACUATED);
    awaitNothingArrives();
    store.putEvacuation("a");
    await(() -> statuses().stream().allMatch(status -> status == 503));
    store.removeEvacuation("a");
    await(this::served);
    assertEvacuatedFor(500);
  }

  /** Requests are rejected at once if no replica is left, and none of their stages starts. */
  @Test
  void requestsAreRejectedAtOnceIfEverythingIsEvacuated() throws IOException {
    startAll();
    store.putEvacuation("a");
    store.putEvacuation(EVACUATED);
    await(() -> statuses().stream().allMatch(status -> status == 503), IN_FORCE_MILLIS);
    clearArrivals();
    worker.arrivals().clear();
    for (String target : List.of("/p/x", "/b/x", "/s/x")) {
      long start = System.nanoTime();
      RawReply reply = call(instances.get(0), target, "r" + sent++, "key");
      assertEquals(503, reply.status());
      assertTrue(System.nanoTime() - start < 500_000_000L);
      assertTrue(Double.parseDouble(reply.field("Retry-After").orElseThrow()) > 0);
    }
    assertTrue(noneArrived());
    assertEquals(List.of(), worker.arrivals());
  }

  @Test
  void instanceThatStartsMeanwhileSendsNothingThere() throws IOException {
    startAll();
    store.putEvacuation(EVACUATED);
    awaitNothingArrives();
    Instance late = startInstance("e-9", "127.0.0.9", List.of(instances.get(0).settings().links()));
    instances.add(late);
    await(() -> isReady(late));
    assertEvacuatedFor(1_000);
  }

  @Test
  void evacuationGoesOnWhileTheStoreIsAway() throws IOException {
    startAll();
    store.putEvacuation(EVACUATED);
    awaitNothingArrives();
    store.setFault(StoreStandin.Fault.DOWN);
    assertEvacuatedFor(2_000);
    store.setFault(StoreStandin.Fault.NONE);
    assertEvacuatedFor(3_000);
  }

  /** The copy lacks the record, which the operator writes again a short time later. */
  @Test
  void evacuationDoesNotLapseWhenTheStoreReturnsFromCopy() throws IOException {
    startAll();
    store.takeCopy();
    store.putEvacuation(EVACUATED);
    awaitNothingArrives();
    store.setFault(StoreStandin.Fault.DOWN);
    assertEvacuatedFor(800);
    store.returnFromCopy();
    store.setFault(StoreStandin.Fault.NONE);
    assertEvacuatedFor(1_000);
    store.putEvacuation(EVACUATED);
    assertEvacuatedFor(3_000);
    store.removeEvacuation(EVACUATED);
    await(() -> served() && evacuated.stream().allMatch(r -> !r.arrivals().isEmpty()));
  }

  /** A stream that runs there ends as it is. */
  @Test
  void streamUnderWayIsNotCut() throws IOException {
    startReplicas();
    store.putReplica("i-1", "");
    ReplicaStandin only = evacuated.get(0);
    only.setBehaviour(ReplicaStandin.Behaviour.STREAM);
    only.setEventIntervalMillis(700);
    instances.addAll(startReadyInstances(1));
    final var stream =
        client.fetch(
            "test",
            SampleTraffic.longStreamRequest(instances.get(0).settings().clients(), "l", "key"));
    await(() -> !only.executedTargets().isEmpty());
    store.putEvacuation(EVACUATED);
    await(() -> call(instances.get(0), "/p/x", "r" + sent++, "key").status() == 503);
    RawReply reply = stream.join();
    assertEquals(200, reply.status());
    assertTrue(new String(reply.body(), UTF_8).contains("id: 3"));
  }

  /** Stages that are in progress must not hold their requests until the deadline. */
  @Test
  void requestsWhoseStagesCannotGoOnAreRejectedAtOnce() throws IOException {
    startAll();
    store.putEvacuation(EVACUATED);
    awaitNothingArrives();
    worker.setPieceCallMillis(700);
    worker.arrivals().clear();
    CompletableFuture<RawReply> reply = sendWithOwnPrompt(instances.get(0), "/s/x");
    await(() -> !worker.arrivals().isEmpty());
    store.putEvacuation("a");
    assertEquals(503, reply.orTimeout(2, TimeUnit.SECONDS).join().status());
    assertTrue(noneArrived());
  }
}
