package org.arbutusspar.entry.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.io.http.RawClient;
import org.arbutusspar.io.http.RawReply;
import org.arbutusspar.platform.PlatformSettings;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.arbutusspar.platform.standin.StoreStandin;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Runs an instance on loopback against a store and a replica in the same process, and sends it a
 * few requests, so that a class archive made at the end of the process holds the classes that an
 * instance needs. A start with such an archive takes about half of the processor time.
 */
final class ClassTraining {

  private static final String LOOPBACK = "127.0.0.1";
  private static final int THREADS = 12;
  private static final int REQUESTS = 40;
  private static final long STEP_MILLIS = 50;
  private static final int STEPS = 60;
  private static final long CALL_MILLIS = 3_000;
  private static final int OK = 200;

  private ClassTraining() {}

  /** Runs the training. */
  static void run() throws IOException, InterruptedException {
    List<Endpoint> endpoints = freeEndpoints(7);
    QueuedThreadPool threads = new QueuedThreadPool(THREADS);
    threads.setStopTimeout(STEP_MILLIS);
    Endpoint clients = endpoints.get(0);
    try (StoreStandin store = StoreStandin.start(endpoints.get(4));
        ReplicaStandin engine = ReplicaStandin.start("i-1", endpoints.get(5));
        ReplicaStandin worker = ReplicaStandin.start("i-2", endpoints.get(6));
        RawClient client = RawClient.start(LOOPBACK, threads, CALL_MILLIS, CALL_MILLIS)) {
      store.putConfiguration(SampleTraffic.configuration(1, "k"));
      store.putReplica("i-1", engine.listEntry(SampleTraffic.ENGINE, false));
      store.putReplica("i-2", worker.listEntry(SampleTraffic.WORKER, false));
      try (Gateway gateway = Gateway.start(settings(endpoints))) {
        awaitReady(client, endpoints.get(1));
        for (int i = 0; i < REQUESTS; i++) {
          engine.setBehaviour(behaviour(i));
          String target = (i % 2 == 0 ? "/p/" : "/s/") + i;
          client.fetch("train", SampleTraffic.request(clients, target, "t" + i, "k")).join();
          client.fetch("train", SampleTraffic.addressQuery(endpoints.get(2))).join();
        }
        gateway.leave("training");
      }
    }
  }

  private static ReplicaStandin.Behaviour behaviour(int number) {
    return number % 2 == 0 ? ReplicaStandin.Behaviour.RESPOND : ReplicaStandin.Behaviour.STREAM;
  }

  private static List<Endpoint> freeEndpoints(int count) throws IOException {
    List<Endpoint> endpoints = new ArrayList<>();
    List<ServerSocket> sockets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK));
      sockets.add(socket);
      endpoints.add(new Endpoint(LOOPBACK, socket.getLocalPort()));
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return endpoints;
  }

  private static void awaitReady(RawClient client, Endpoint readiness) throws InterruptedException {
    for (int i = 0; i < STEPS; i++) {
      RawReply reply = client.fetch("train", SampleTraffic.readinessQuery(readiness)).join();
      if (reply.status() == OK) {
        return;
      }
      Thread.sleep(STEP_MILLIS);
    }
  }

  private static PlatformSettings settings(List<Endpoint> endpoints) {
    return new PlatformSettings(
        "training",
        DataCentre.of("a"),
        LOOPBACK,
        endpoints.get(0),
        endpoints.get(1),
        endpoints.get(2),
        endpoints.get(3),
        Optional.empty(),
        List.of(),
        endpoints.get(4),
        new PlatformSettings.Bounds(8_000, 0.2, 10_000, 50, 5_000));
  }
}
