package org.arbutusspar.entry.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.io.http.RawClient;
import org.arbutusspar.io.http.RawReply;
import org.arbutusspar.platform.PlatformSettings;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.arbutusspar.platform.standin.StoreStandin;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * Base class of tests of {@link Gateway}. Before each test it starts stand-ins of the store and of
 * two replicas on loopback, an engine and a worker; instances are started by the tests. All are
 * closed after the test.
 */
abstract class GatewayRig {

  static final String FIRST_ADDRESS = "127.0.0.1";
  static final String SECOND_ADDRESS = "127.0.0.2";

  /** First port to use; the whole range lies below the kernel's ephemeral ports. */
  private static final int FIRST_PORT = 12_000;

  private static final int PORT_COUNT = 20_000;

  /**
   * Starts at a number that depends on the process, so that parallel test processes rarely collide.
   */
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger((int) ProcessHandle.current().pid() * 211);

  /** Maximum time for a new configuration to be in force at an instance, in milliseconds. */
  static final long MAX_APPLY_MILLIS = 2_000;

  private final List<AutoCloseable> closeables = new ArrayList<>();
  StoreStandin store;
  Endpoint storeEndpoint;
  ReplicaStandin engine;
  ReplicaStandin worker;
  RawClient client;

  /** Whether the instances are started with the rules on callers that compete for capacity. */
  boolean contended;

  /** Memory limit in the settings of the instances, in bytes. */
  long memoryBytes = 256_000_000;

  /** A running instance with its settings, which hold its endpoints. */
  record Instance(Gateway gateway, PlatformSettings settings) {}

  @BeforeEach
  void startStandins() throws IOException {
    storeEndpoint = freeEndpoint(FIRST_ADDRESS);
    store = closeAfterTest(StoreStandin.start(storeEndpoint));
    engine = closeAfterTest(ReplicaStandin.start("i-1", freeEndpoint(FIRST_ADDRESS)));
    worker = closeAfterTest(ReplicaStandin.start("i-2", freeEndpoint(FIRST_ADDRESS)));
    QueuedThreadPool threads = new QueuedThreadPool(16);
    threads.setStopTimeout(100);
    client = closeAfterTest(RawClient.start("", threads, 1_000, 1_000));
    store.putConfiguration(SampleTraffic.configuration(1, "key"));
    store.putReplica("i-1", engine.listEntry(SampleTraffic.ENGINE, false));
    store.putReplica("i-2", worker.listEntry(SampleTraffic.WORKER, false));
  }

  @AfterEach
  void closeAll() throws Exception {
    for (int i = closeables.size() - 1; i >= 0; i--) {
      closeables.get(i).close();
    }
  }

  /** Registers an object to be closed after the test, in reverse order, and returns it. */
  <T extends AutoCloseable> T closeAfterTest(T closeable) {
    closeables.add(closeable);
    return closeable;
  }

  /** Returns an endpoint on which nothing listens, with a port outside the ephemeral range. */
  static Endpoint freeEndpoint(String address) throws IOException {
    while (true) {
      int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORT_COUNT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(address))) {
        return new Endpoint(address, socket.getLocalPort());
      } catch (BindException e) {
        // The port is in use: try the next one.
      }
    }
  }

  Instance startInstance(String name, String address, List<Endpoint> seeds) throws IOException {
    return startInstance(name, address, seeds, 8_000);
  }

  Instance startInstance(String name, String address, List<Endpoint> seeds, long shutdownMillis)
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
            100,
            memoryBytes,
            contended,
            new PlatformSettings.Bounds(shutdownMillis, 0.2, 10_000, 50, 5_000, 1.5, 5));
    return new Instance(closeAfterTest(Gateway.start(settings)), settings);
  }

  /**
   * Starts instances e-1, e-2 and so on at addresses of their own, and waits until all are ready.
   */
  List<Instance> startReadyInstances(int count) throws IOException {
    List<Instance> instances = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      List<Endpoint> seeds = instances.stream().map(each -> each.settings().links()).toList();
      instances.add(startInstance("e-" + i, "127.0.0." + i, seeds));
    }
    await(() -> instances.stream().allMatch(this::isReady));
    return instances;
  }

  /** Starts an instance, waits until it serves requests, and clears the engine's records. */
  Instance startReadyInstance() throws IOException {
    Instance instance = startInstance("e-1", FIRST_ADDRESS, List.of());
    await(() -> isReady(instance));
    await(() -> call(instance, "/p/warm", "warm", "key").status() == 200);
    engine.executedHeaders().clear();
    engine.executedTargets().clear();
    return instance;
  }

  boolean isReady(Instance instance) {
    var query = SampleTraffic.readinessQuery(instance.settings().readiness());
    return client.fetch("test", query).join().status() == 200;
  }

  /** Sends a request to an instance and waits for its response. */
  RawReply call(Instance instance, String target, String id, String key) {
    return send(instance, target, id, key).join();
  }

  CompletableFuture<RawReply> send(Instance instance, String target, String id, String key) {
    return client.fetch(
        "test", SampleTraffic.request(instance.settings().clients(), target, id, key));
  }

  static void await(BooleanSupplier condition) {
    await(condition, 8_000);
  }

  /** Polls a condition until it holds, and fails if it does not within a time in milliseconds. */
  static void await(BooleanSupplier condition, long millis) {
    long deadlineNanos = System.nanoTime() + millis * 1_000_000;
    while (!condition.getAsBoolean()) {
      assertTrue(
          System.nanoTime() - deadlineNanos < 0, "condition not met within " + millis + " ms");
      sleep(10);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns the addresses of instances that an instance gives to clients, as JSON. */
  String addresses(Instance instance) {
    var query = SampleTraffic.addressQuery(instance.settings().directory());
    return new String(client.fetch("test", query).join().body(), StandardCharsets.UTF_8);
  }
}
