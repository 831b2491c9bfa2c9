package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.route.Endpoint;
import org.arbutusspar.io.http.RawClient;
import org.arbutusspar.io.http.RawReply;
import org.arbutusspar.platform.PlatformSettings;
import org.arbutusspar.platform.standin.CrashingReplica;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.ReplicaStandin.Behaviour;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.arbutusspar.platform.standin.StoreStandin;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs instances on loopback against stand-ins of the store and of replicas. */
class GatewayTest {

  private static final String FIRST = "127.0.0.1";
  private static final String SECOND = "127.0.0.2";

  /** Bound of the target for a configuration to be in force. */
  private static final long APPLY_MILLIS = 2_000;

  private final List<AutoCloseable> open = new ArrayList<>();
  private StoreStandin store;
  private Endpoint storeEndpoint;
  private ReplicaStandin engine;
  private ReplicaStandin worker;
  private RawClient client;

  /** An instance with its endpoints. */
  private record Instance(Gateway gateway, PlatformSettings settings) {}

  @BeforeEach
  void startStandins() throws IOException {
    storeEndpoint = freeEndpoint(FIRST);
    store = keep(StoreStandin.start(storeEndpoint));
    engine = keep(ReplicaStandin.start("i-1", freeEndpoint(FIRST)));
    worker = keep(ReplicaStandin.start("i-2", freeEndpoint(FIRST)));
    QueuedThreadPool threads = new QueuedThreadPool(16);
    threads.setStopTimeout(100);
    client = keep(RawClient.start("", threads, 1_000, 1_000));
    store.configuration(SampleTraffic.configuration(1, "key"));
    store.replica("i-1", engine.entry(SampleTraffic.ENGINE, false));
    store.replica("i-2", worker.entry(SampleTraffic.WORKER, false));
  }

  @AfterEach
  void closeAll() throws Exception {
    for (int i = open.size() - 1; i >= 0; i--) {
      open.get(i).close();
    }
  }

  private <T extends AutoCloseable> T keep(T closeable) {
    open.add(closeable);
    return closeable;
  }

  private static Endpoint freeEndpoint(String address) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
      return new Endpoint(address, socket.getLocalPort());
    }
  }

  private Instance startInstance(String name, String address, List<Endpoint> seeds)
      throws IOException {
    PlatformSettings settings =
        new PlatformSettings(
            name,
            DataCentre.of("a"),
            address,
            freeEndpoint(address),
            freeEndpoint(address),
            freeEndpoint(address),
            freeEndpoint(address),
            Optional.empty(),
            seeds,
            storeEndpoint,
            new PlatformSettings.Bounds(8_000, 2_000, 0.2, 10_000, 50, 5_000));
    return new Instance(keep(Gateway.start(settings)), settings);
  }

  private Instance startReady() throws IOException {
    Instance instance = startInstance("e-1", FIRST, List.of());
    await(() -> isReady(instance));
    await(() -> call(instance, "/p/warm", "warm", "key").status() == 200);
    engine.runs().clear();
    engine.targets().clear();
    return instance;
  }

  private boolean isReady(Instance instance) {
    var question = SampleTraffic.readinessQuestion(instance.settings().readiness());
    return client.fetch("test", question).join().status() == 200;
  }

  private RawReply call(Instance instance, String target, String id, String key) {
    return send(instance, target, id, key).join();
  }

  private CompletableFuture<RawReply> send(
      Instance instance, String target, String id, String key) {
    return client.fetch(
        "test", SampleTraffic.request(instance.settings().clients(), target, id, key));
  }

  private static void await(BooleanSupplier condition) {
    await(condition, 8_000);
  }

  private static void await(BooleanSupplier condition, long millis) {
    long until = System.nanoTime() + millis * 1_000_000;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() - until < 0, "not within " + millis + " ms");
      sleep(10);
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void passesRequestsAndAnswersOnAsTheyStand() throws IOException {
    Instance instance = startReady();
    RawReply reply = call(instance, "/p/x%2Fy?q=%20", "one", "key");
    assertEquals(200, reply.status());
    assertEquals("whole", new String(reply.body(), StandardCharsets.UTF_8));
    assertEquals(Optional.of("i-1.one"), reply.field("X-Response-Signature"));
    assertEquals(List.of("/p/x%2Fy?q=%20"), engine.targets());
    assertEquals("t", engine.runs().get(0).get("X-Tenant"));
    assertEquals(null, engine.runs().get(0).get("Api-Key"));
    assertTrue(engine.runs().get(0).getLongField("X-Deadline-Ms") <= 2_000);
  }

  @Test
  void refusesWhatTheConfigurationDoesNotAllow() throws IOException {
    Instance instance = startReady();
    assertEquals(404, call(instance, "/unknown/x", "a", "key").status());
    assertEquals(401, call(instance, "/p/x", "b", "wrong").status());
    assertEquals(200, call(instance, "/o/x", "c", "wrong").status());
    assertEquals(null, engine.runs().get(0).get("X-Tenant"));
  }

  @Test
  void knowsNothingBeforeItsFirstConfiguration() throws IOException {
    store.fault(StoreStandin.Fault.DOWN);
    Instance instance = startInstance("e-1", FIRST, List.of());
    RawReply reply = call(instance, "/p/x", "a", "key");
    assertEquals(503, reply.status());
    assertTrue(reply.field("Retry-After").isPresent());
    assertFalse(isReady(instance));
    store.fault(StoreStandin.Fault.NONE);
    await(() -> isReady(instance));
  }

  @Test
  void keyThatIsTakenAwayStopsWorking() throws IOException {
    Instance instance = startReady();
    store.configuration(SampleTraffic.configuration(2, "other"));
    await(() -> call(instance, "/p/x", "a", "key").status() == 401, APPLY_MILLIS);
    assertEquals(200, call(instance, "/p/x", "b", "other").status());
  }

  @Test
  void olderConfigurationNeverComesBack() throws IOException {
    Instance instance = startReady();
    store.configuration(SampleTraffic.configuration(5, "new"));
    await(() -> call(instance, "/p/x", "a", "new").status() == 200, APPLY_MILLIS);
    store.configuration(SampleTraffic.configuration(4, "key"));
    store.configuration("{broken");
    sleep(300);
    assertEquals(401, call(instance, "/p/x", "b", "key").status());
    assertEquals(200, call(instance, "/p/x", "c", "new").status());
  }

  @Test
  void forgottenHistoryIsReadAnew() throws IOException {
    final Instance instance = startReady();
    store.configuration(SampleTraffic.configuration(2, "between"));
    store.configuration(SampleTraffic.configuration(3, "last"));
    store.forgetConfigurations();
    await(() -> call(instance, "/p/x", "a", "last").status() == 200, APPLY_MILLIS);
  }

  @Test
  void nonRepeatableRequestWhoseAnswerIsLostRunsOnceAndIsNotSaidToBeNotRun() throws IOException {
    Instance instance = startReady();
    for (Behaviour behaviour : List.of(Behaviour.LOSE_ANSWER, Behaviour.FOREIGN)) {
      engine.runs().clear();
      engine.behave(behaviour);
      assertEquals(502, call(instance, "/n/x", "a-" + behaviour, "key").status());
      assertEquals(1, engine.runs().size());
    }
  }

  /** Messages of failed connections hold addresses: as labels they would grow without bound. */
  @Test
  void reasonsInMetricsAreFew() throws IOException {
    Instance instance = startReady();
    engine.behave(Behaviour.CLOSE);
    for (int i = 0; i < 5; i++) {
      assertEquals(502, call(instance, "/n/x", "lost" + i, "key").status());
    }
    String figures = new String(instance.gateway().metrics(), StandardCharsets.UTF_8);
    long failures = figures.lines().filter(line -> line.contains("outcome=\"failed\"")).count();
    assertEquals(1, failures, figures);
  }

  @Test
  void requestThatWasNotRunIsToldWhenToComeBack() throws IOException {
    Instance instance = startReady();
    engine.behave(Behaviour.REFUSE);
    RawReply reply = call(instance, "/n/x", "a", "key");
    assertEquals(503, reply.status());
    double seconds = Double.parseDouble(reply.field("Retry-After").orElseThrow());
    assertTrue(seconds > 0 && seconds < 2.0 / 3, "within a third of what is left: " + seconds);
    assertTrue(engine.runs().isEmpty());
  }

  @Test
  void repeatableRequestGoesToAnotherReplica() throws IOException {
    final Instance instance = startReady();
    ReplicaStandin other = keep(ReplicaStandin.start("i-3", freeEndpoint(FIRST)));
    store.replica("i-3", other.entry(SampleTraffic.ENGINE, false));
    engine.behave(Behaviour.FAIL);
    await(() -> call(instance, "/p/x", "w" + System.nanoTime(), "key").status() == 200);
    for (int i = 0; i < 10; i++) {
      assertEquals(200, call(instance, "/p/x", "r" + i, "key").status());
    }
  }

  @Test
  void failureOfTheReplicaIsPassedOn() throws IOException {
    Instance instance = startReady();
    engine.behave(Behaviour.FAIL);
    RawReply reply = call(instance, "/n/x", "a", "key");
    assertEquals(500, reply.status());
    assertEquals(Optional.of("i-1.a"), reply.field("X-Response-Signature"));
  }

  @Test
  void stagesRunInOrderAndTheirResultsAreReleased() throws IOException {
    Instance instance = startReady();
    engine.behave(Behaviour.STREAM);
    RawReply reply = call(instance, "/s/x", "s1", "key");
    assertEquals(200, reply.status());
    assertEquals(3, new String(reply.body(), StandardCharsets.UTF_8).split("data:").length - 1);
    assertEquals(3, worker.pieces().size(), "one piece, then two");
    assertEquals(2, engine.runs().get(0).get("X-Inputs").split(",").length);
    await(() -> worker.kept().isEmpty());
  }

  @Test
  void streamThatBreaksOffDoesNotLookWhole() throws IOException {
    Instance instance = startReady();
    engine.behave(Behaviour.TEAR_STREAM);
    var future = send(instance, "/s/x", "s1", "key");
    assertThrows(CompletionException.class, future::join);
    assertEquals(1, engine.runs().size());
  }

  /** Replays cojulun trouble-2: an answer without length that a reset cuts short. */
  @Test
  void answerWithoutLengthThatIsResetDoesNotLookWhole() throws IOException {
    Instance instance = startReady();
    CrashingReplica crashing = keep(CrashingReplica.start(FIRST));
    store.replica("i-1", "");
    store.replica("i-9", ReplicaStandin.entry(crashing.endpoint(), SampleTraffic.ENGINE, false));
    await(() -> call(instance, "/n/x", "n" + System.nanoTime(), "key").status() == 502);
    for (int i = 0; i < 5; i++) {
      assertEquals(502, call(instance, "/n/x", "m" + i, "key").status());
    }
  }

  @Test
  void clientThatLeavesTakesItsRequestAlong() throws IOException {
    Instance instance = startReady();
    engine.behave(Behaviour.HANG);
    var call = SampleTraffic.request(instance.settings().clients(), "/n/x", "gone", "key");
    var cancelled = new CompletableFuture<Void>();
    var listener = new IgnoringListener(cancelled);
    RawClient.Cancellation cancellation = client.send(call, listener);
    await(() -> engine.runs().size() == 1);
    cancellation.cancel("test");
    await(() -> engine.left().contains("gone"), 500);
  }

  @Test
  void requestIsAnsweredAtItsRoutesTimeout() throws IOException {
    Instance instance = startReady();
    engine.behave(Behaviour.HANG);
    long from = System.nanoTime();
    assertEquals(504, call(instance, "/n/x", "a", "key").status());
    long millis = (System.nanoTime() - from) / 1_000_000;
    assertTrue(millis > 1_500 && millis < 2_500, millis + " ms");
  }

  @Test
  void replicaThatLeavesGetsNothingAfterSeconds() throws IOException {
    final Instance instance = startReady();
    store.replica("i-1", engine.entry(SampleTraffic.ENGINE, true));
    sleep(2_000);
    engine.runs().clear();
    assertEquals(503, call(instance, "/p/x", "a", "key").status());
    assertTrue(engine.runs().isEmpty());
  }

  @Test
  void gracefulShutdownCutsNothing() throws IOException, InterruptedException {
    Instance instance = startReady();
    engine.behave(Behaviour.STREAM);
    var running = send(instance, "/s/x", "a", "key");
    instance.gateway().leave("test");
    assertFalse(isReady(instance));
    assertEquals(200, running.join().status());
    assertEquals(200, call(instance, "/s/x", "late", "key").status());
    instance.gateway().await();
  }

  @Test
  void instanceThatIsCutOffFromTheStoreLearnsFromFellow() throws IOException {
    Instance first = startReady();
    store.refuse(SECOND);
    Instance second = startInstance("e-2", SECOND, List.of(first.settings().links()));
    await(() -> isReady(second));
    await(() -> call(second, "/p/x", "a" + System.nanoTime(), "key").status() == 200);
    store.configuration(SampleTraffic.configuration(2, "other"));
    await(() -> call(second, "/p/x", "b", "key").status() == 401, APPLY_MILLIS);
  }

  @Test
  void addressAnswersNameTheInstancesThatTakeRequests() throws IOException {
    Instance first = startReady();
    Instance second = startInstance("e-2", SECOND, List.of());
    await(() -> addresses(first).contains(second.settings().clients().toString()));
    second.gateway().leave("test");
    await(() -> !addresses(first).contains(second.settings().clients().toString()), 1_000);
    assertTrue(addresses(first).contains(first.settings().clients().toString()));
  }

  private String addresses(Instance instance) {
    var question = SampleTraffic.addressQuestion(instance.settings().directory());
    return new String(client.fetch("test", question).join().body(), StandardCharsets.UTF_8);
  }

  @Test
  void piecesGoOnWhenTheInstanceThatGathersThemIsGone() throws IOException {
    Instance first = startReady();
    Instance second = startInstance("e-2", SECOND, List.of(first.settings().links()));
    await(() -> addresses(first).contains(second.settings().clients().toString()));
    engine.behave(Behaviour.STREAM);
    assertEquals(200, call(first, "/s/x", "a", "key").status());
    assertEquals(200, call(second, "/s/x", "b", "key").status());
    second.gateway().close();
    for (int i = 0; i < 5; i++) {
      assertEquals(200, call(first, "/s/x", "c" + i, "key").status());
    }
  }
}
