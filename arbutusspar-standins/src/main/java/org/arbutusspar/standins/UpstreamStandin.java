package org.arbutusspar.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.balancing.LoadReport;
import org.arbutusspar.io.http.Exchange;
import org.arbutusspar.io.http.HttpHost;
import org.arbutusspar.io.upstream.LoadReports;
import org.arbutusspar.io.upstream.UpstreamClient;

/**
 * Stand-in for many replicas of upstream services in one process, each on an endpoint of its own.
 *
 * <p>{@code POST /admin/fault?replica=ID&name=value} sets a fault of a replica. The request may be
 * sent to any endpoint of the stand-in. The faults are:
 *
 * <ul>
 *   <li>{@code slow=FACTOR}: calls take FACTOR times as long; 1 is the normal speed
 *   <li>{@code leaving=true|false}: the replica reports that it is leaving
 *   <li>{@code silent=true|false}: the replica does not respond, except to {@code /admin/} requests
 *   <li>{@code silenceConnections=now}: the replica no longer responds on the connections that
 *       exist now; new connections work
 *   <li>{@code cutEvery=N}: each Nth call is run, but its connection is closed in the middle of the
 *       stream or, if the service does not stream, before the response; 0 switches it off
 *   <li>{@code failEvery=N}: each Nth call gets status 500 and is not run; 0 switches it off
 * </ul>
 *
 * <p>{@code GET /admin/ledger} returns how often each plain call was run, see {@link Ledger}.
 * {@code GET /admin/late} returns the number of calls that arrived more than 5 s after their
 * replica had begun to report that it was leaving.
 */
public final class UpstreamStandin implements AutoCloseable {

  private static final int THREADS = 16;
  private static final int TIMER_THREADS = 2;
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_ERROR = 500;
  private static final int STATUS_UNAVAILABLE = 503;

  /** Time within which callers have to stop sending to a replica that reports that it leaves. */
  private static final long LEAVING_GRACE_NANOS = 5_000_000_000L;

  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);
  private final Map<Endpoint, ReplicaStandin> byEndpoint = new HashMap<>();

  /** Time of {@link System#nanoTime()} at which each leaving replica began to leave. */
  private final Map<ReplicaStandin, Long> leavingSince = new HashMap<>();

  private final Ledger ledger = Ledger.create();
  private final Options options;
  private final HttpHost host;

  private UpstreamStandin(Options options) {
    this.options = options;
    List<Endpoint> endpoints = new ArrayList<>();
    for (ListedReplica each : options.replicas()) {
      ReplicaKind kind = options.kinds().get(each.service().value());
      byEndpoint.put(each.endpoint(), ReplicaStandin.create(each, kind, options.instant(), timer));
      endpoints.add(each.endpoint());
    }
    host = HttpHost.start("upstream", endpoints, THREADS, this::handle);
  }

  /**
   * Settings of a stand-in.
   *
   * @param replicas replicas to serve
   * @param kinds kind of the replicas of each service, by the name of the service
   * @param oneWay simulated network delay between a caller and a replica
   * @param instant whether replicas respond without any simulated delay
   */
  public record Options(
      List<ListedReplica> replicas,
      Map<String, ReplicaKind> kinds,
      NetworkDelay oneWay,
      boolean instant) {

    /** Creates settings with copies of the collections. */
    public Options {
      replicas = List.copyOf(replicas);
      kinds = Map.copyOf(kinds);
      Objects.requireNonNull(oneWay, "oneWay");
    }
  }

  /** Network delay between two hosts. */
  public interface NetworkDelay {

    /**
     * Returns the one-way network delay between two hosts.
     *
     * @param from IP address of the sender, not null
     * @param to IP address of the receiver, not null
     * @return the delay, in milliseconds
     */
    double oneWayMillis(String from, String to);
  }

  /**
   * Starts a stand-in.
   *
   * @param options settings of the stand-in, not null
   * @return the stand-in; the caller closes it
   */
  public static UpstreamStandin start(Options options) {
    return new UpstreamStandin(Objects.requireNonNull(options, "options"));
  }

  private void handle(Exchange exchange) {
    ReplicaStandin replica = byEndpoint.get(exchange.local());
    if (exchange.path().startsWith("/admin/")) {
      admin(exchange);
    } else if (replica == null) {
      exchange.reply(STATUS_NOT_FOUND, Map.of(), "{}");
    } else if (!replica.faults().isSilent(exchange.connectedAtMillis())) {
      serve(exchange, replica);
    }
  }

  private void serve(Exchange exchange, ReplicaStandin replica) {
    double roundTripMillis =
        options.instant()
            ? 0
            : 2 * options.oneWay().oneWayMillis(exchange.remoteHost(), exchange.local().host());
    if (exchange.path().equals("/load")) {
      replica.runAfter(
          roundTripMillis, () -> exchange.reply(STATUS_OK, Map.of(), loadJson(replica)));
      return;
    }
    recordCallAfterLeaving(replica);
    ReplicaStandin.CallFault fault = replica.faults().nextCallFault();
    if (fault == ReplicaStandin.CallFault.FAIL) {
      exchange.reply(STATUS_ERROR, headers(exchange, replica), "{\"error\":\"fault\"}");
      return;
    }
    boolean started =
        replica.startCall(
            () -> replica.runAfter(roundTripMillis, () -> run(exchange, replica, fault)));
    if (!started) {
      exchange.reply(STATUS_UNAVAILABLE, headers(exchange, replica), "{\"error\":\"full\"}");
    }
  }

  /** Counts a call that arrived after the grace period of its leaving replica. */
  private synchronized void recordCallAfterLeaving(ReplicaStandin replica) {
    Long since = leavingSince.get(replica);
    if (since != null && System.nanoTime() - since > LEAVING_GRACE_NANOS) {
      ledger.countCallAfterLeaving();
    }
  }

  private void run(Exchange exchange, ReplicaStandin replica, ReplicaStandin.CallFault fault) {
    SimulatedWork work;
    try {
      work = SimulatedWork.of(replica.kind(), exchange);
    } catch (IllegalArgumentException e) {
      replica.endCall();
      exchange.reply(STATUS_BAD_REQUEST, headers(exchange, replica), "{\"error\":\"body\"}");
      return;
    }
    if (replica.kind() == ReplicaKind.GENERATE) {
      TokenStream.start(exchange, replica, work, headers(exchange, replica), fault);
      return;
    }
    if (replica.kind() == ReplicaKind.PLAIN) {
      ledger.recordRun(exchange.header(UpstreamClient.IDEMPOTENCY_KEY_HEADER).orElse("none"));
    }
    replica.runAfter(
        replica.currentMillis(replica.kind().durationMillis(work.units())),
        () -> {
          replica.endCall();
          if (fault == ReplicaStandin.CallFault.CUT) {
            exchange.abort();
          } else {
            exchange.reply(STATUS_OK, headers(exchange, replica), work.responseBody());
          }
        });
  }

  private static Map<String, String> headers(Exchange exchange, ReplicaStandin replica) {
    Map<String, String> headers = new HashMap<>();
    headers.put(LoadReports.HEADER, LoadReports.toHeader(replica.report()));
    exchange
        .header(UpstreamClient.ATTEMPT_ID_HEADER)
        .ifPresent(id -> headers.put(UpstreamClient.ATTEMPT_ID_HEADER, id));
    return headers;
  }

  private static String loadJson(ReplicaStandin replica) {
    LoadReport report = replica.report();
    return "{\"running\":"
        + report.running()
        + ",\"waiting\":"
        + report.waiting()
        + ",\"leaving\":"
        + report.leaving()
        + ",\"dropped\":["
        + replica.cache().droppedJson()
        + "]}";
  }

  private void admin(Exchange exchange) {
    switch (exchange.method() + " " + exchange.path()) {
      case "GET /admin/ledger" -> exchange.reply(STATUS_OK, "text/plain", Map.of(), ledger.lines());
      case "GET /admin/late" ->
          exchange.reply(STATUS_OK, "text/plain", Map.of(), ledger.callsAfterLeaving() + "\n");
      case "POST /admin/fault" -> applyFaults(exchange);
      default -> exchange.reply(STATUS_NOT_FOUND, Map.of(), "{}");
    }
  }

  private void applyFaults(Exchange exchange) {
    String id = exchange.query("replica").orElse("");
    for (ReplicaStandin replica : byEndpoint.values()) {
      if (replica.listed().id().value().equals(id)) {
        applyFaults(exchange, replica);
      }
    }
    exchange.reply(STATUS_OK, Map.of(), "{}");
  }

  private void applyFaults(Exchange exchange, ReplicaStandin replica) {
    ReplicaStandin.FaultSettings faults = replica.faults();
    exchange.query("slow").ifPresent(v -> faults.setSlowFactor(Double.parseDouble(v)));
    exchange.query("silent").ifPresent(v -> faults.setSilent(Boolean.parseBoolean(v)));
    exchange.query("silenceConnections").ifPresent(v -> faults.silenceConnections());
    exchange.query("cutEvery").ifPresent(v -> faults.setCutEvery(Integer.parseInt(v)));
    exchange.query("failEvery").ifPresent(v -> faults.setFailEvery(Integer.parseInt(v)));
    exchange.query("leaving").ifPresent(v -> setLeaving(replica, Boolean.parseBoolean(v)));
  }

  private synchronized void setLeaving(ReplicaStandin replica, boolean leaving) {
    replica.faults().setLeaving(leaving);
    if (leaving) {
      leavingSince.put(replica, System.nanoTime());
    } else {
      leavingSince.remove(replica);
    }
  }

  @Override
  public void close() {
    host.close();
    timer.shutdownNow();
  }
}
