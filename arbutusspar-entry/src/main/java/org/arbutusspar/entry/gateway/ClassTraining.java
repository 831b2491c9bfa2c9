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
 * Training run for the class archive (class data sharing) of the JVM. It runs an instance on
 * loopback against stand-ins of the store and of two replicas in the same process, and sends it
 * some requests, so that the archive written when the process exits holds the classes that an
 * instance needs. A start with such an archive takes about half of the processor time.
 */
final class ClassTraining {

  private static final String LOOPBACK = "127.0.0.1";
  private static final int HTTP_THREADS = 12;
  private static final int REQUESTS = 40;

  /** Interval of readiness checks, and stop timeout of the HTTP threads, in milliseconds. */
  private static final long SHORT_WAIT_MILLIS = 50;

  private static final int MAX_READINESS_CHECKS = 60;

  /** Connect and idle timeout of the client's connections, in milliseconds. */
  private static final long CONNECTION_TIMEOUT_MILLIS = 3_000;

  private static final int STATUS_OK = 200;

  private ClassTraining() {}

  /**
   * Runs the instance, sends the requests and stops everything.
   *
   * @throws IOException if no free port is found or a stand-in cannot listen
   * @throws InterruptedException if a wait is interrupted
   */
  static void run() throws IOException, InterruptedException {
    List<Endpoint> endpoints = freeEndpoints(7);
    QueuedThreadPool threads = new QueuedThreadPool(HTTP_THREADS);
    threads.setStopTimeout(SHORT_WAIT_MILLIS);
    Endpoint clientEndpoint = endpoints.get(0);
    try (StoreStandin store = StoreStandin.start(endpoints.get(4));
        ReplicaStandin engine = ReplicaStandin.start("i-1", endpoints.get(5));
        ReplicaStandin worker = ReplicaStandin.start("i-2", endpoints.get(6));
        RawClient client =
            RawClient.start(
                LOOPBACK, threads, CONNECTION_TIMEOUT_MILLIS, CONNECTION_TIMEOUT_MILLIS)) {
      store.putConfiguration(SampleTraffic.configuration(1, "k"));
      store.putReplica("i-1", engine.listEntry(SampleTraffic.ENGINE, false));
      store.putReplica("i-2", worker.listEntry(SampleTraffic.WORKER, false));
      try (Gateway gateway = Gateway.start(settings(endpoints))) {
        awaitReady(client, endpoints.get(1));
        for (int i = 0; i < REQUESTS; i++) {
          engine.setBehaviour(behaviour(i));
          String target = (i % 2 == 0 ? "/p/" : "/s/") + i;
          client.fetch("train", SampleTraffic.request(clientEndpoint, target, "t" + i, "k")).join();
          client.fetch("train", SampleTraffic.addressQuery(endpoints.get(2))).join();
        }
        gateway.leave("training");
      }
    }
  }

  /** Alternates whole and streamed responses, so that the classes of both are loaded. */
  private static ReplicaStandin.Behaviour behaviour(int requestIndex) {
    return requestIndex % 2 == 0
        ? ReplicaStandin.Behaviour.RESPOND
        : ReplicaStandin.Behaviour.STREAM;
  }

  /** Returns distinct loopback endpoints with ports that were free just now. */
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
    for (int i = 0; i < MAX_READINESS_CHECKS; i++) {
      RawReply reply = client.fetch("train", SampleTraffic.readinessQuery(readiness)).join();
      if (reply.status() == STATUS_OK) {
        return;
      }
      Thread.sleep(SHORT_WAIT_MILLIS);
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
        100,
        256_000_000,
        true,
        new PlatformSettings.Bounds(8_000, 0.2, 10_000, 50, 5_000, 1, 0));
  }
}
