package org.arbutusspar.io.upstream;

import java.net.URI;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.balancing.LoadReport;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.flow.Action;
import org.arbutusspar.core.flow.Event;
import org.arbutusspar.core.id.AttemptId;
import org.arbutusspar.core.id.ReplicaId;
import org.arbutusspar.io.http.HttpCall;
import org.arbutusspar.io.http.HttpCaller;

/**
 * Sends attempts and load polls to replicas. Thread-safe.
 *
 * <p>A connection can stop delivering data for good while new connections to the same replica work.
 * Connections to a replica therefore belong to numbered generations, and only the newest generation
 * is used for calls. A generation is retired when a poll on it fails, or when the replica twice
 * reports fewer calls than are unanswered at this instance. If a poll then succeeds, unanswered
 * calls on retired generations fail as {@link
 * org.arbutusspar.core.flow.AttemptFailure.Kind#SILENT}, which does not count as a failure of the
 * replica. Calls of non-repeatable requests each use a connection of their own, which belongs to no
 * generation, and never fail in this way.
 */
public final class UpstreamClient implements AutoCloseable {

  /** Header field that carries the id of an attempt. */
  public static final String ATTEMPT_ID_HEADER = "X-Request-Id";

  /** Header field with the key under which a plain service executes a call at most once. */
  public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

  /** Header field with the hash of the prompt prefix that a call shares with other calls. */
  public static final String PREFIX_KEY_HEADER = "X-Prefix-Key";

  private static final long POLL_TIMEOUT_MILLIS = 500;

  /** Timeout of a poll that follows a failed poll or a report with too few calls. */
  private static final long SECOND_POLL_TIMEOUT_MILLIS = 1_000;

  /** Delay between the two reports that must both have too few calls to retire a generation. */
  private static final long RECHECK_DELAY_MILLIS = 200;

  /** Minimum time between checks of reports in responses of one replica. */
  private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time beyond the deadline after which a call of a non-repeatable request times out. */
  private static final long FRESH_CONNECTION_GRACE_MILLIS = 30_000;

  /** Time beyond the deadline after which any other call times out. */
  private static final long CALL_TIMEOUT_GRACE_MILLIS = 1_000;

  private static final String STEP_POLL = "poll";

  private final HttpCaller http;
  private final Consumer<Event> events;
  private final Map<AttemptId, InFlight> inFlight = new ConcurrentHashMap<>();

  /** Newest generation of connections of each replica; 0 for a replica without an entry. */
  private final Map<ReplicaId, Integer> generations = new ConcurrentHashMap<>();

  /** Time of the last check of a report in a response, by replica. */
  private final Map<ReplicaId, Long> lastCheckNanos = new ConcurrentHashMap<>();

  private UpstreamClient(HttpCaller http, Consumer<Event> events) {
    this.http = http;
    this.events = events;
  }

  /**
   * Returns a client.
   *
   * @param http HTTP client to use; closed together with this client, not null
   * @param events receives the results of attempts and polls, on threads of the HTTP client, not
   *     null
   * @return the client
   */
  public static UpstreamClient create(HttpCaller http, Consumer<Event> events) {
    return new UpstreamClient(
        Objects.requireNonNull(http, "http"), Objects.requireNonNull(events, "events"));
  }

  /**
   * Sends an attempt.
   *
   * @param send the attempt, with its replica and data, not null
   */
  public void send(Action.Send send) {
    AttemptCall call =
        AttemptCall.create(
            send,
            event -> {
              inFlight.remove(send.attempt());
              events.accept(event);
              checkReportInResponse(send, event);
            },
            events);
    int generation = generation(send.replica().id());
    HttpCaller.Cancellable cancellable = http.stream(httpCall(send, generation), call);
    inFlight.put(send.attempt(), new InFlight(send, generation, call, cancellable));
    if (call.isDone()) {
      inFlight.remove(send.attempt());
    }
  }

  /**
   * Cancels an attempt. Has no effect if the attempt has ended.
   *
   * @param attempt the attempt, not null
   */
  public void cancel(AttemptId attempt) {
    InFlight call = inFlight.remove(attempt);
    if (call != null) {
      call.cancellable().cancel();
    }
  }

  /**
   * Requests the load report of a replica. If the poll fails, retires the generation of connections
   * and polls once more.
   *
   * @param poll the replica and its service, not null
   */
  public void poll(Action.Poll poll) {
    ListedReplica replica = poll.replica();
    int generation = generation(replica.id());
    http.call(STEP_POLL, pollCall(replica, generation, POLL_TIMEOUT_MILLIS))
        .whenComplete(
            (reply, failure) -> {
              if (failure != null) {
                retireGeneration(replica.id(), generation);
                pollAgain(poll, report -> failUnanswered(replica.id(), generation));
              } else {
                onPolled(poll, reply.body()).ifPresent(report -> checkForLostCalls(poll, report));
              }
            });
  }

  /** Polls on the newest generation of connections, and passes on the report if there is one. */
  private void pollAgain(Action.Poll poll, Consumer<LoadReport> next) {
    ListedReplica replica = poll.replica();
    HttpCall call = pollCall(replica, generation(replica.id()), SECOND_POLL_TIMEOUT_MILLIS);
    http.call(STEP_POLL, call).thenAccept(reply -> onPolled(poll, reply.body()).ifPresent(next));
  }

  private Optional<LoadReport> onPolled(Action.Poll poll, String body) {
    Optional<LoadReport> report = LoadReports.fromJson(body);
    report.ifPresent(r -> events.accept(new Event.Polled(poll.service(), poll.replica().id(), r)));
    for (long prefix : LoadReports.droppedPrefixes(body)) {
      events.accept(new Event.PrefixDropped(poll.replica().id(), prefix));
    }
    return report;
  }

  /**
   * Checks the load report in a response for lost calls, at most once in each check interval. Busy
   * replicas are not polled, so that their reports arrive only in responses.
   */
  private void checkReportInResponse(Action.Send send, Event event) {
    if (!(event instanceof Event.Replied replied) || replied.report().isEmpty()) {
      return;
    }
    ReplicaId replica = send.replica().id();
    long now = System.nanoTime();
    long last = lastCheckNanos.getOrDefault(replica, now - CHECK_INTERVAL_NANOS);
    if (now - last >= CHECK_INTERVAL_NANOS) {
      lastCheckNanos.put(replica, now);
      checkForLostCalls(
          new Action.Poll(send.service().name(), send.replica()), replied.report().get());
    }
  }

  /**
   * Compares a load report with the unanswered calls to the replica. If the replica reports fewer
   * calls than are unanswered here, and a second report after a delay does too, some calls never
   * reached the replica or their responses were lost. Their connections are then considered dead.
   */
  private void checkForLostCalls(Action.Poll poll, LoadReport report) {
    ReplicaId replica = poll.replica().id();
    if (!reportsFewerCalls(replica, report)) {
      return;
    }
    int generation = generation(replica);
    CompletableFuture.delayedExecutor(RECHECK_DELAY_MILLIS, TimeUnit.MILLISECONDS)
        .execute(
            () ->
                pollAgain(
                    poll,
                    secondReport -> {
                      if (reportsFewerCalls(replica, secondReport)) {
                        retireGeneration(replica, generation);
                        failUnanswered(replica, generation);
                      }
                    }));
  }

  /** Returns whether a report counts fewer calls than are unanswered here. */
  private boolean reportsFewerCalls(ReplicaId replica, LoadReport report) {
    long unanswered =
        inFlight.values().stream()
            .filter(call -> call.replica().equals(replica))
            .filter(call -> call.attempt().isUnanswered())
            .count();
    return report.running() + report.waiting() < unanswered;
  }

  /** Fails the unanswered calls on a generation of connections and on older generations. */
  private void failUnanswered(ReplicaId replica, int generation) {
    for (InFlight call : inFlight.values()) {
      boolean onRetiredConnection =
          call.replica().equals(replica)
              && call.generation() <= generation
              && !call.send().freshConnection();
      if (onRetiredConnection && call.attempt().failIfUnanswered()) {
        call.cancellable().cancel();
      }
    }
  }

  private HttpCall pollCall(ListedReplica replica, int generation, long timeoutMillis) {
    return HttpCall.get(uri(replica, "/load"), timeoutMillis).inPool(poolName(generation));
  }

  private HttpCall httpCall(Action.Send send, int generation) {
    long grace = send.freshConnection() ? FRESH_CONNECTION_GRACE_MILLIS : CALL_TIMEOUT_GRACE_MILLIS;
    String body = StageCodec.encode(send.service(), send.stage(), send.data());
    URI uri = uri(send.replica(), StageCodec.path(send.service()));
    HttpCall call =
        HttpCall.post(uri, body, Math.max(1, send.remainingMillis()) + grace)
            .with(ATTEMPT_ID_HEADER, send.attempt().wireForm())
            .inPool(poolName(generation));
    if (send.affinity() != 0) {
      call = call.with(PREFIX_KEY_HEADER, Long.toHexString(send.affinity()));
    }
    if (send.service().kind() == StageKind.PLAIN) {
      call =
          call.with(
              IDEMPOTENCY_KEY_HEADER,
              send.attempt().request().workspace() + "/" + send.attempt().request().id());
    }
    return send.freshConnection() ? call.inPool("alone").onDedicatedConnection() : call;
  }

  private int generation(ReplicaId replica) {
    return generations.getOrDefault(replica, 0);
  }

  /** Makes later calls to a replica use a newer generation of connections than the given one. */
  private void retireGeneration(ReplicaId replica, int generation) {
    generations.merge(replica, generation + 1, Math::max);
  }

  private static String poolName(int generation) {
    return "g" + generation;
  }

  private static URI uri(ListedReplica replica, String path) {
    return URI.create("http://" + replica.endpoint() + path);
  }

  @Override
  public void close() {
    http.close();
  }

  /** An attempt that has not ended yet. */
  private record InFlight(
      Action.Send send, int generation, AttemptCall attempt, HttpCaller.Cancellable cancellable) {

    private ReplicaId replica() {
      return send.replica().id();
    }
  }
}
