package org.arbutusspar.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.io.http.RawClient;
import org.arbutusspar.platform.standin.ReplicaStandin;
import org.arbutusspar.platform.standin.SampleTraffic;
import org.arbutusspar.platform.standin.StoreStandin;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Prints the processor time that an instance needs for its start, for its first requests and while
 * idle, over several starts on one processor core. With a second checkout as baseline, the starts
 * of both alternate, and the ratio of the medians is printed.
 */
public final class ColdFigures {

  private static final Map<String, String> KINDS = kinds();

  /** Number of requests after each of which a figure is taken. */
  private static final int[] STEPS = {1, 10, 50, 200};

  private static final long REQUEST_INTERVAL_MILLIS = 10;
  private static final long SETTLE_MILLIS = 1_000;
  private static final long IDLE_MILLIS = 3_000;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final int THREADS = 16;
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final String ADDRESS = "127.0.1.2";

  private final int core;
  private final Endpoint store;
  private final RawClient client;
  private int sent;

  private ColdFigures(int core, Endpoint store, RawClient client) {
    this.core = core;
    this.store = store;
    this.client = client;
  }

  private static Map<String, String> kinds() {
    Map<String, String> kinds = new LinkedHashMap<>();
    kinds.put("plain", "/b/x");
    kinds.put("engine", "/p/x");
    kinds.put("stages", "/s/x");
    return kinds;
  }

  /**
   * Runs the measurement.
   *
   * @param args number of starts, number of the core, folder of a built checkout, and optionally
   *     the folder of another one as baseline
   * @throws IOException if an instance cannot be started or does not serve
   * @throws InterruptedException if a wait is interrupted
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    int starts = Integer.parseInt(args[0]);
    Endpoint storeEndpoint = freeEndpoint();
    try (StoreStandin store = StoreStandin.start(storeEndpoint);
        ReplicaStandin engine = startReplica(store, "i-1", SampleTraffic.ENGINE);
        ReplicaStandin worker = startReplica(store, "i-2", SampleTraffic.WORKER);
        ReplicaStandin plain = startReplica(store, "i-3", SampleTraffic.PLAIN);
        RawClient client =
            RawClient.start("", new QueuedThreadPool(THREADS), TIMEOUT_MILLIS, TIMEOUT_MILLIS)) {
      store.putConfiguration(SampleTraffic.configuration(1, "key"));
      ColdFigures figures = new ColdFigures(Integer.parseInt(args[1]), storeEndpoint, client);
      Map<String, List<Double>> measured = new LinkedHashMap<>();
      Map<String, List<Double>> baseline = new LinkedHashMap<>();
      for (int i = 0; i < starts; i++) {
        figures.measure(Path.of(args[2]), i, measured);
        if (args.length > 3) {
          figures.measure(Path.of(args[3]), i, baseline);
        }
      }
      print(measured, baseline);
      System.out.flush();
      Runtime.getRuntime().halt(0);
    }
  }

  private static Endpoint freeEndpoint() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ADDRESS))) {
      return new Endpoint(ADDRESS, socket.getLocalPort());
    }
  }

  private static ReplicaStandin startReplica(StoreStandin store, String id, String service)
      throws IOException {
    ReplicaStandin replica = ReplicaStandin.start(id, freeEndpoint());
    store.putReplica(id, replica.listEntry(service, false));
    return replica;
  }

  /** Starts an instance and sends it requests of one kind, since each kind warms up the others. */
  private void measure(Path checkout, int start, Map<String, List<Double>> figures)
      throws IOException, InterruptedException {
    String kind = List.copyOf(KINDS.keySet()).get(start % KINDS.size());
    try (ColdInstance instance = ColdInstance.start(checkout, core, store, client)) {
      instance.awaitReady();
      add(figures, "start", instance.processorMillis());
      Thread.sleep(SETTLE_MILLIS);
      double idleFrom = instance.processorMillis();
      Thread.sleep(IDLE_MILLIS);
      double idle = instance.processorMillis() - idleFrom;
      add(figures, "idle, a second", idle * MILLIS_PER_SECOND / IDLE_MILLIS);
      int from = 0;
      for (int step : STEPS) {
        double before = instance.processorMillis();
        for (int i = from; i < step; i++) {
          instance.send(KINDS.get(kind), "cold" + sent++);
          Thread.sleep(REQUEST_INTERVAL_MILLIS);
        }
        double each = (instance.processorMillis() - before) / (step - from);
        add(figures, "%s, requests %d to %d, each".formatted(kind, from + 1, step), each);
        from = step;
      }
    }
  }

  private static void add(Map<String, List<Double>> figures, String name, double value) {
    figures.computeIfAbsent(name, n -> new ArrayList<>()).add(value);
  }

  private static void print(
      Map<String, List<Double>> measured, Map<String, List<Double>> baseline) {
    System.out.println("figure;runs;minimum ms;median ms;maximum ms;ratio to baseline");
    measured.forEach(
        (name, values) -> {
          List<Double> sorted = values.stream().sorted().toList();
          double median = median(sorted);
          String ratio =
              baseline.containsKey(name)
                  ? "%.2f".formatted(median / median(baseline.get(name)))
                  : "-";
          System.out.printf(
              Locale.ROOT,
              "%s;%d;%.2f;%.2f;%.2f;%s%n",
              name,
              sorted.size(),
              sorted.get(0),
              median,
              sorted.get(sorted.size() - 1),
              ratio);
        });
  }

  private static double median(List<Double> values) {
    List<Double> sorted = values.stream().sorted().toList();
    int middle = sorted.size() / 2;
    return sorted.size() % 2 == 1
        ? sorted.get(middle)
        : (sorted.get(middle - 1) + sorted.get(middle)) / 2;
  }
}
