package org.arbutusspar.entry.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.routing.KeyOwner;
import org.arbutusspar.core.routing.Route;
import org.arbutusspar.core.routing.RouteKind;
import org.arbutusspar.core.routing.ServingState;
import org.arbutusspar.io.http.BodyCollector;
import org.arbutusspar.io.http.HeaderField;
import org.arbutusspar.io.http.StreamHost;
import org.arbutusspar.platform.ClientRequest;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Takes clients' requests: finds the route, checks the key, reads the body, hands them on. */
final class ClientHandler implements StreamHost.StreamHandler {

  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int TOO_LARGE = 413;
  private static final int UNAVAILABLE = 503;

  /** Bodies of all requests together; beyond it new requests are refused. */
  private static final long MAX_HELD_BYTES = 48L << 20;

  /** Time kept back so that the client has its answer before its deadline. */
  private static final long BODY_MARGIN_MILLIS = 40;

  /** A stream with its stages takes about this long; a shorter rest of a shutdown cuts it. */
  private static final long STREAM_MILLIS = 4_000;

  /** When to come back to an instance that has just started or is full, in seconds. */
  private static final String SOON = "0.4";

  private final RequestContext context;
  private final AtomicInteger active = new AtomicInteger();
  private final AtomicLong heldBytes = new AtomicLong();
  private volatile ServingState state;
  private final Set<ServedRequest> served = ConcurrentHashMap.newKeySet();
  private volatile long leaveBy;
  private volatile boolean leaving;

  ClientHandler(RequestContext context) {
    this.context = context;
  }

  void state(ServingState fresh) {
    state = fresh;
  }

  /**
   * Makes each answer from now on the last one on its connection.
   *
   * @param end when the instance ends at the latest
   */
  void leave(long end) {
    leaveBy = end;
    leaving = true;
  }

  /** Refuses the requests that no replica has seen; the instance ends. */
  void refuseUnsent() {
    List.copyOf(served).forEach(ServedRequest::refuseUnsent);
  }

  private boolean endsBefore(Route route) {
    long left = leaveBy - context.loop().now();
    return leaving && route.kind() == RouteKind.STREAM && left < Nanos.ofMillis(STREAM_MILLIS);
  }

  /** Returns the number of requests that have not ended. */
  int active() {
    return active.get();
  }

  @Override
  public void handle(Request request, Response response, Callback callback) {
    ClientExchange exchange = ClientExchange.create(request, response, callback);
    if (leaving) {
      exchange.closeAfter();
    }
    ServingState current = state;
    if (current == null) {
      refuse(exchange, "-", UNAVAILABLE, "no-configuration");
      return;
    }
    ClientRequest read;
    try {
      read =
          ClientRequest.read(
              request.getMethod(), request.getHttpURI().getPathQuery(), fields(request));
    } catch (IllegalArgumentException e) {
      refuse(exchange, "-", BAD_REQUEST, "malformed: " + e.getMessage());
      return;
    }
    admit(current, read, request, exchange);
  }

  private void admit(
      ServingState current, ClientRequest read, Request request, ClientExchange exchange) {
    Optional<Route> route = current.routes().find(read.host(), read.path());
    if (route.isEmpty()) {
      refuse(exchange, read.id(), NOT_FOUND, "no-route");
      return;
    }
    Optional<KeyOwner> owner = read.key().flatMap(current.keys()::find);
    if (current.keys().isRequired() && !route.get().anonymous() && owner.isEmpty()) {
      refuse(exchange, read.id(), UNAUTHORIZED, "unknown-key");
      return;
    }
    if (read.id().isEmpty()) {
      refuse(exchange, "-", BAD_REQUEST, "no-identifier");
      return;
    }
    if (!route.get().stages().isEmpty()
        && read.pieceCounts().size() != route.get().stages().size()) {
      refuse(exchange, read.id(), BAD_REQUEST, "piece-counts");
      return;
    }
    if (endsBefore(route.get())) {
      refuse(exchange, read.id(), UNAVAILABLE, "leaving");
      return;
    }
    if (heldBytes.get() > MAX_HELD_BYTES) {
      refuse(exchange, read.id(), UNAVAILABLE, "too-many-bytes");
      return;
    }
    long arrivedAt = context.loop().now();
    AtomicBoolean decided = new AtomicBoolean();
    BodyCollector.read(
        request,
        current.limits().bodyBytes(),
        body -> {
          if (decided.compareAndSet(false, true)) {
            serve(current, read, route.get(), owner, body, exchange, arrivedAt);
          }
        },
        () -> {
          decided.set(true);
          refuse(exchange, read.id(), TOO_LARGE, "body-too-large");
        },
        cause -> {
          decided.set(true);
          exchange.cut(String.valueOf(cause.getMessage()));
        });
    if (!decided.get()) {
      long clientTimeoutMillis = read.clientTimeoutMillis().orElse(Long.MAX_VALUE);
      long limit = Math.min(clientTimeoutMillis, route.get().timeoutMillis()) - BODY_MARGIN_MILLIS;
      context.loop().after(limit, () -> refuseLateBody(exchange, read.id(), decided));
    }
  }

  private void refuseLateBody(ClientExchange exchange, String id, AtomicBoolean decided) {
    if (decided.compareAndSet(false, true)) {
      exchange.closeAfter();
      refuse(exchange, id, REQUEST_TIMEOUT, "body-late");
    }
  }

  private void serve(
      ServingState current,
      ClientRequest read,
      Route route,
      Optional<KeyOwner> owner,
      byte[] body,
      ClientExchange exchange,
      long arrivedAt) {
    active.incrementAndGet();
    heldBytes.addAndGet(body.length);
    ServedRequest request =
        new ServedRequest(context, current, read, route, owner, body, exchange, arrivedAt);
    served.add(request);
    context
        .loop()
        .post(
            () ->
                request.start(
                    () -> {
                      served.remove(request);
                      active.decrementAndGet();
                      heldBytes.addAndGet(-body.length);
                    }));
  }

  private void refuse(ClientExchange exchange, String id, int status, String reason) {
    context.log().write("rejected", "id", id, "status", status, "reason", reason);
    context.metrics().onOutcome("rejected", "status-" + status);
    List<HeaderField> fields =
        status == UNAVAILABLE ? List.of(new HeaderField("Retry-After", SOON)) : List.of();
    exchange.reply(status, fields, ByteBuffer.allocate(0));
  }

  private static List<HeaderField> fields(Request request) {
    List<HeaderField> fields = new ArrayList<>(request.getHeaders().size());
    for (HttpField field : request.getHeaders()) {
      fields.add(
          new HeaderField(field.getName(), field.getValue() == null ? "" : field.getValue()));
    }
    return fields;
  }
}
