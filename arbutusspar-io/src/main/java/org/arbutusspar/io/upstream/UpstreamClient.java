package org.arbutusspar.io.upstream;

import java.net.URI;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.flow.Action;
import org.arbutusspar.core.flow.Event;
import org.arbutusspar.core.id.AttemptId;
import org.arbutusspar.core.id.ReplicaId;
import org.arbutusspar.core.route.ListedReplica;
import org.arbutusspar.io.http.HttpCall;
import org.arbutusspar.io.http.HttpCaller;

/**
 * Sends attempts and polls to replicas. Safe for use by several threads.
 *
 * <p>A connection can go silent for good while new ones work. Each replica therefore has a
 * generation of connections: a poll that gets no answer in time retires the whole generation, and
 * is repeated on a new connection before anything is held against the replica.
 */
public final class UpstreamClient implements AutoCloseable {

  /** Header field that carries the identity of an attempt. */
  public static final String IDENTITY = "X-Request-Id";

  /** Header field that carries the key under which a plain service runs a call at most once. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  private static final long POLL_TIMEOUT_MILLIS = 500;
  private static final long RETRY_TIMEOUT_MILLIS = 1_000;
  private static final long LATE_MILLIS = 30_000;
  private static final long GRACE_MILLIS = 1_000;
  private static final String STEP_POLL = "poll";

  private final HttpCaller http;
  private final Consumer<Event> events;
  private final Map<AttemptId, HttpCaller.Cancellable> calls = new ConcurrentHashMap<>();
  private final Map<ReplicaId, Integer> generations = new ConcurrentHashMap<>();

  private UpstreamClient(HttpCaller http, Consumer<Event> events) {
    this.http = http;
    this.events = events;
  }

  /**
   * Returns a client.
   *
   * @param http makes its calls; closed with the client, not null
   * @param events told what becomes of attempts and polls, on threads of the HTTP client, not null
   * @return the client
   */
  public static UpstreamClient create(HttpCaller http, Consumer<Event> events) {
    return new UpstreamClient(
        Objects.requireNonNull(http, "http"), Objects.requireNonNull(events, "events"));
  }

  /**
   * Sends an attempt.
   *
   * @param send what to send, not null
   */
  public void send(Action.Send send) {
    AttemptCall call =
        AttemptCall.create(
            send,
            event -> {
              calls.remove(send.attempt());
              events.accept(event);
            },
            events);
    HttpCaller.Cancellable cancellable = http.stream(httpCall(send), call);
    calls.put(send.attempt(), cancellable);
    if (call.isDone()) {
      calls.remove(send.attempt());
    }
  }

  /**
   * Gives up an attempt.
   *
   * @param attempt the attempt, not null
   */
  public void cancel(AttemptId attempt) {
    HttpCaller.Cancellable call = calls.remove(attempt);
    if (call != null) {
      call.cancel();
    }
  }

  /**
   * Asks a replica for its load report.
   *
   * @param poll whom to ask, not null
   */
  public void poll(Action.Poll poll) {
    ListedReplica replica = poll.replica();
    int generation = generation(replica.id());
    http.call(STEP_POLL, pollCall(replica, generation, POLL_TIMEOUT_MILLIS))
        .whenComplete(
            (reply, failure) -> {
              if (failure == null) {
                onPolled(poll, reply.body());
              } else {
                retire(replica.id(), generation);
                pollAgain(poll);
              }
            });
  }

  private void pollAgain(Action.Poll poll) {
    ListedReplica replica = poll.replica();
    HttpCall call = pollCall(replica, generation(replica.id()), RETRY_TIMEOUT_MILLIS);
    http.call(STEP_POLL, call).thenAccept(reply -> onPolled(poll, reply.body()));
  }

  private void onPolled(Action.Poll poll, String body) {
    LoadReports.fromJson(body)
        .ifPresent(
            report -> events.accept(new Event.Polled(poll.service(), poll.replica().id(), report)));
  }

  private HttpCall pollCall(ListedReplica replica, int generation, long timeoutMillis) {
    return HttpCall.get(uri(replica, "/load"), timeoutMillis).inPool(pool(generation));
  }

  private HttpCall httpCall(Action.Send send) {
    long grace = send.freshConnection() ? LATE_MILLIS : GRACE_MILLIS;
    String body = StageCodec.encode(send.service(), send.stage(), send.data());
    URI uri = uri(send.replica(), StageCodec.path(send.service()));
    HttpCall call =
        HttpCall.post(uri, body, Math.max(1, send.remainingMillis()) + grace)
            .with(IDENTITY, send.attempt().wireForm())
            .inPool(pool(generation(send.replica().id())));
    if (send.service().kind() == StageKind.PLAIN) {
      call =
          call.with(
              IDEMPOTENCY_KEY,
              send.attempt().request().workspace() + "/" + send.attempt().request().id());
    }
    return send.freshConnection() ? call.inPool("alone").alone() : call;
  }

  private int generation(ReplicaId replica) {
    return generations.getOrDefault(replica, 0);
  }

  private void retire(ReplicaId replica, int generation) {
    generations.merge(replica, generation + 1, Math::max);
  }

  private static String pool(int generation) {
    return "g" + generation;
  }

  private static URI uri(ListedReplica replica, String path) {
    return URI.create("http://" + replica.endpoint() + path);
  }

  @Override
  public void close() {
    http.close();
  }
}
