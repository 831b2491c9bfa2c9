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

/** Stand-ins of the store and of replicas on loopback, and instances that run on them. */
abstract class GatewayRig {

  static final String FIRST = "127.0.0.1";
  static final String SECOND = "127.0.0.2";

  /** Below the ports that the kernel gives to outgoing connections. */
  private static final int FIRST_PORT = 12_000;

  private static final int PORTS = 20_000;

  /** Test processes that run side by side begin at different ports. */
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger((int) ProcessHandle.current().pid() * 211);

  /** Bound of the target for a configuration to be in force. */
  static final long APPLY_MILLIS = 2_000;

  private final List<AutoCloseable> open = new ArrayList<>();
  StoreStandin store;
  Endpoint storeEndpoint;
  ReplicaStandin engine;
  ReplicaStandin worker;
  RawClient client;

  /** An instance with its endpoints. */
  record Instance(Gateway gateway, PlatformSettings settings) {}

  @BeforeEach
  void startStandins() throws IOException {
    storeEndpoint = freeEndpoint(FIRST);
    store = keep(StoreStandin.start(storeEndpoint));
    engine = keep(ReplicaStandin.start("i-1", freeEndpoint(FIRST)));
    worker = keep(ReplicaStandin.start("i-2", freeEndpoint(FIRST)));
    QueuedThreadPool threads = new QueuedThreadPool(16);
    threads.setStopTimeout(100);
    client = keep(RawClient.start("", threads, 1_000, 1_000));
    store.putConfiguration(SampleTraffic.configuration(1, "key"));
    store.putReplica("i-1", engine.listEntry(SampleTraffic.ENGINE, false));
    store.putReplica("i-2", worker.listEntry(SampleTraffic.WORKER, false));
  }

  @AfterEach
  void closeAll() throws Exception {
    for (int i = open.size() - 1; i >= 0; i--) {
      open.get(i).close();
    }
  }

  <T extends AutoCloseable> T keep(T closeable) {
    open.add(closeable);
    return closeable;
  }

  /** Returns an address that nobody listens on, at a port that no outgoing connection takes. */
  static Endpoint freeEndpoint(String address) throws IOException {
    while (true) {
      int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(address))) {
        return new Endpoint(address, socket.getLocalPort());
      } catch (BindException e) {
        // Another process has the port: the next one is tried.
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
            new PlatformSettings.Bounds(shutdownMillis, 0.2, 10_000, 50, 5_000));
    return new Instance(keep(Gateway.start(settings)), settings);
  }

  Instance startReady() throws IOException {
    Instance instance = startInstance("e-1", FIRST, List.of());
    await(() -> isReady(instance));
    await(() -> call(instance, "/p/warm", "warm", "key").status() == 200);
    engine.executedHeaders().clear();
    engine.executedTargets().clear();
    return instance;
  }

  boolean isReady(Instance instance) {
    var question = SampleTraffic.readinessQuery(instance.settings().readiness());
    return client.fetch("test", question).join().status() == 200;
  }

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

  static void await(BooleanSupplier condition, long millis) {
    long until = System.nanoTime() + millis * 1_000_000;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() - until < 0, "not within " + millis + " ms");
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

  String addresses(Instance instance) {
    var question = SampleTraffic.addressQuery(instance.settings().directory());
    return new String(client.fetch("test", question).join().body(), StandardCharsets.UTF_8);
  }
}
