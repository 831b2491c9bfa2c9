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
import org.arbutusspar.core.routing.HeldBytes;
import org.arbutusspar.core.routing.KeyOwner;
import org.arbutusspar.core.routing.Route;
import org.arbutusspar.core.routing.ServingState;
import org.arbutusspar.core.routing.ShutdownAdmission;
import org.arbutusspar.io.http.BodyCollector;
import org.arbutusspar.io.http.HeaderField;
import org.arbutusspar.io.http.StreamHost;
import org.arbutusspar.platform.ClientRequest;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Handles client requests: finds the route, checks the key, reads the body and starts to serve the
 * request. Requests that fail these checks are rejected here.
 */
final class ClientHandler implements StreamHost.StreamHandler {

  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int CONTENT_TOO_LARGE = 413;
  private static final int SERVICE_UNAVAILABLE = 503;

  /**
   * Maximum size of all buffered bodies together; beyond it new requests are rejected. Not used if
   * all bytes that are held for clients and replicas are counted.
   */
  private static final long MAX_BUFFERED_BODY_BYTES = 48L << 20;

  /**
   * Time before the deadline at which a request with an incomplete body is rejected, in
   * milliseconds, so that the response reaches the client before the deadline.
   */
  private static final long BODY_TIMEOUT_MARGIN_MILLIS = 40;

  /** Retry-After of an instance that has just started, is full or is leaving, in seconds. */
  private static final String RETRY_AFTER_SECONDS = "0.4";

  /** Retry-After of an instance that is full or leaving while others may have room, in seconds. */
  private static final String RETRY_ELSEWHERE_SECONDS = "0.05";

  private final RequestContext context;
  private final AtomicInteger active = new AtomicInteger();
  private final AtomicLong bufferedBodyBytes = new AtomicLong();

  /** Configuration in force, or null before the first one. */
  private volatile ServingState state;

  private final Set<ServedRequest> unfinishedRequests = ConcurrentHashMap.newKeySet();

  /** Rules for the requests that arrive while the instance leaves, or null before. */
  private volatile ShutdownAdmission shutdown;

  private volatile boolean rejecting;

  ClientHandler(RequestContext context) {
    this.context = context;
  }

  /** Sets the configuration for the requests that arrive from now on. */
  void state(ServingState newState) {
    state = newState;
  }

  /**
   * Starts to drain: each connection is closed after the response to its next request.
   *
   * @param rules decide which requests are accepted from now on, not null
   */
  void leave(ShutdownAdmission rules) {
    shutdown = rules;
  }

  /** Rejects the requests of which no byte has been sent to a replica, at the end of a shutdown. */
  void rejectUnsent() {
    List.copyOf(unfinishedRequests).forEach(ServedRequest::rejectUnsent);
  }

  /**
   * Rejects all requests from now on. A request that is not rejected counts as active before this
   * method returns.
   *
   * @return true if requests were accepted until now
   */
  boolean rejectNew() {
    boolean first = !rejecting;
    rejecting = true;
    return first;
  }

  /** Returns whether the end of a shutdown may cut a request that is accepted now. */
  private boolean shutdownMayCut(Route route, ClientRequest request, long arrivedAt) {
    ShutdownAdmission rules = shutdown;
    long deadline = ServedRequest.deadline(request, route, arrivedAt);
    return rules != null && !rules.permits(route.kind(), deadline, context.loop().now());
  }

  /** Returns the number of requests whose body has been read and that have not ended. */
  int active() {
    return active.get();
  }

  @Override
  public void handle(Request request, Response response, Callback callback) {
    ClientExchange exchange =
        context
            .heldBytes()
            .map(held -> ClientExchange.create(request, response, callback, held))
            .orElseGet(() -> ClientExchange.create(request, response, callback));
    if (shutdown != null) {
      exchange.closeConnectionAfterResponse();
    }
    ServingState current = state;
    if (current == null) {
      reject(exchange, "-", SERVICE_UNAVAILABLE, "no-configuration");
      return;
    }
    ClientRequest clientRequest;
    try {
      clientRequest =
          ClientRequest.read(
              request.getMethod(), request.getHttpURI().getPathQuery(), headerFields(request));
    } catch (IllegalArgumentException e) {
      reject(exchange, "-", BAD_REQUEST, "malformed: " + e.getMessage());
      return;
    }
    admit(current, clientRequest, request, exchange);
  }

  private void admit(
      ServingState current, ClientRequest clientRequest, Request request, ClientExchange exchange) {
    Optional<Route> route = current.routes().find(clientRequest.host(), clientRequest.path());
    if (route.isEmpty()) {
      reject(exchange, clientRequest.id(), NOT_FOUND, "no-route");
      return;
    }
    Optional<KeyOwner> keyOwner = clientRequest.key().flatMap(current.keys()::find);
    if (current.keys().isRequired() && !route.get().anonymous() && keyOwner.isEmpty()) {
      reject(exchange, clientRequest.id(), UNAUTHORIZED, "unknown-key");
      return;
    }
    if (clientRequest.id().isEmpty()) {
      reject(exchange, "-", BAD_REQUEST, "no-identifier");
      return;
    }
    if (!route.get().stages().isEmpty()
        && clientRequest.pieceCounts().size() != route.get().stages().size()) {
      reject(exchange, clientRequest.id(), BAD_REQUEST, "piece-counts");
      return;
    }
    long arrivedAt = context.loop().now();
    if (shutdownMayCut(route.get(), clientRequest, arrivedAt)) {
      reject(exchange, clientRequest.id(), SERVICE_UNAVAILABLE, "leaving");
      return;
    }
    if (holdsTooManyBytes(request)) {
      reject(exchange, clientRequest.id(), SERVICE_UNAVAILABLE, "too-many-bytes");
      return;
    }
    // Set by whichever comes first: the end of the body, its failure or its timeout.
    AtomicBoolean bodyHandled = new AtomicBoolean();
    Optional<HeldBytes.Hold> hold = context.heldBytes().map(HeldBytes::newHold);
    BodyCollector.read(
        request,
        current.limits().bodyBytes(),
        count -> hold.ifPresent(held -> held.add(count)),
        body -> {
          if (bodyHandled.compareAndSet(false, true)) {
            serve(current, clientRequest, route.get(), keyOwner, body, hold, exchange, arrivedAt);
          }
        },
        () -> {
          bodyHandled.set(true);
          hold.ifPresent(HeldBytes.Hold::close);
          reject(exchange, clientRequest.id(), CONTENT_TOO_LARGE, "body-too-large");
        },
        cause -> {
          bodyHandled.set(true);
          hold.ifPresent(HeldBytes.Hold::close);
          exchange.abort(String.valueOf(cause.getMessage()));
        });
    if (!bodyHandled.get()) {
      long clientTimeoutMillis = clientRequest.clientTimeoutMillis().orElse(Long.MAX_VALUE);
      long bodyTimeoutMillis =
          Math.min(clientTimeoutMillis, route.get().timeoutMillis()) - BODY_TIMEOUT_MARGIN_MILLIS;
      context
          .loop()
          .after(
              bodyTimeoutMillis,
              () -> rejectLateBody(exchange, clientRequest.id(), hold, bodyHandled));
    }
  }

  private boolean holdsTooManyBytes(Request request) {
    return context
        .heldBytes()
        .map(held -> hasBody(request) && !held.permitsBody())
        .orElseGet(() -> bufferedBodyBytes.get() > MAX_BUFFERED_BODY_BYTES);
  }

  private static boolean hasBody(Request request) {
    return request.getLength() > 0 || request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
  }

  private void rejectLateBody(
      ClientExchange exchange,
      String id,
      Optional<HeldBytes.Hold> hold,
      AtomicBoolean bodyHandled) {
    if (bodyHandled.compareAndSet(false, true)) {
      hold.ifPresent(HeldBytes.Hold::close);
      exchange.closeConnectionAfterResponse();
      reject(exchange, id, REQUEST_TIMEOUT, "body-late");
    }
  }

  private void serve(
      ServingState current,
      ClientRequest clientRequest,
      Route route,
      Optional<KeyOwner> keyOwner,
      byte[] body,
      Optional<HeldBytes.Hold> hold,
      ClientExchange exchange,
      long arrivedAt) {
    active.incrementAndGet();
    // The shutdown may have begun or progressed while the body arrived.
    if (rejecting || shutdownMayCut(route, clientRequest, arrivedAt)) {
      active.decrementAndGet();
      hold.ifPresent(HeldBytes.Hold::close);
      reject(exchange, clientRequest.id(), SERVICE_UNAVAILABLE, "leaving");
      return;
    }
    bufferedBodyBytes.addAndGet(body.length);
    ServedRequest request =
        new ServedRequest(
            context, current, clientRequest, route, keyOwner, body, exchange, arrivedAt);
    unfinishedRequests.add(request);
    context
        .loop()
        .post(
            () ->
                request.start(
                    () -> {
                      unfinishedRequests.remove(request);
                      active.decrementAndGet();
                      bufferedBodyBytes.addAndGet(-body.length);
                      hold.ifPresent(HeldBytes.Hold::close);
                    }));
  }

  private void reject(ClientExchange exchange, String id, int status, String reason) {
    context.log().write("rejected", "id", id, "status", status, "reason", reason);
    context.metrics().onOutcome("rejected", "status-" + status);
    List<HeaderField> fields =
        status == SERVICE_UNAVAILABLE
            ? List.of(new HeaderField("Retry-After", retryAfterSeconds()))
            : List.of();
    exchange.respond(status, fields, ByteBuffer.allocate(0));
  }

  /** Returns when a rejected client returns; it may be served by another instance. */
  private String retryAfterSeconds() {
    return context.contention().isPresent() && state != null
        ? RETRY_ELSEWHERE_SECONDS
        : RETRY_AFTER_SECONDS;
  }

  private static List<HeaderField> headerFields(Request request) {
    List<HeaderField> fields = new ArrayList<>(request.getHeaders().size());
    for (HttpField field : request.getHeaders()) {
      fields.add(
          new HeaderField(field.getName(), field.getValue() == null ? "" : field.getValue()));
    }
    return fields;
  }
}
