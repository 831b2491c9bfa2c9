package org.arbutusspar.entry.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.commons.lang3.Strings;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.placement.ExecutionRecord;
import org.arbutusspar.core.placement.SendVerdict;
import org.arbutusspar.core.placement.StatedLoad;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.routing.HeldBytes;
import org.arbutusspar.core.routing.RouteKind;
import org.arbutusspar.io.http.BodyFraming;
import org.arbutusspar.io.http.EventStreamPosition;
import org.arbutusspar.io.http.HeaderField;
import org.arbutusspar.io.http.RawCall;
import org.arbutusspar.io.http.RawClient;
import org.arbutusspar.io.http.RawListener;
import org.arbutusspar.io.http.RawReply;
import org.arbutusspar.platform.ClientRequest;
import org.arbutusspar.platform.UpstreamResponse;

/**
 * One attempt to run a request at one replica. Streamed responses are forwarded to the client part
 * by part. Other responses are buffered first, so that a truncated one is never forwarded and the
 * request can be retried. The response arrives on threads of the HTTP client; the owner is called
 * on the event loop.
 */
final class UpstreamAttempt implements RawListener, ExecutionRecord.Attempt {

  /**
   * Maximum number of bytes of a response to buffer. A larger valid response is forwarded part by
   * part from then on, as is one that comes while the instance holds too many bytes; a larger
   * invalid one is cancelled.
   */
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  private static final String EVENT_STREAM = "text/event-stream";

  /** Reason of the failure of a stream that ended inside an event or without one. */
  private static final String TRUNCATED = "truncated-stream";

  /** Whether the request may have been sent to the replica. */
  private enum SendPhase {
    /** No byte has been sent. */
    WAITING,
    /** The client is about to send the request or has sent it, so the replica may run it. */
    COMMITTED,
    /** No byte has been or will be sent. */
    REVOKED
  }

  private final RequestContext context;
  private final Owner owner;
  private final ClientRequest request;
  private final UpstreamReplica replica;
  private final RouteKind kind;
  private final ClientExchange exchange;
  private final long startedAt;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

  /** Counts the bytes in the buffer; empty if they need not be counted. */
  private final Optional<HeldBytes.Hold> bufferHold;

  private volatile RawClient.Cancellation cancellation = reason -> {};
  private final AtomicReference<SendPhase> sendPhase = new AtomicReference<>(SendPhase.WAITING);
  private volatile UpstreamResponse response;
  private volatile BodyFraming framing;
  private volatile Optional<String> mediaType = Optional.empty();

  /** Position in the body of the response; used by one thread after the other. */
  private final EventStreamPosition position = EventStreamPosition.create();

  /** Whether the response to the client has been started, so that parts are forwarded. */
  private volatile boolean forwarding;

  private volatile boolean cancelled;

  /** Whether the owner has been notified of the start of the response. */
  private boolean startReported;

  private boolean ended;

  private UpstreamAttempt(
      RequestContext context,
      Owner owner,
      ClientRequest request,
      UpstreamReplica replica,
      RouteKind kind,
      ClientExchange exchange) {
    this.context = context;
    this.owner = owner;
    this.request = request;
    this.replica = replica;
    this.kind = kind;
    this.exchange = exchange;
    this.startedAt = context.loop().now();
    this.bufferHold = context.heldBytes().map(HeldBytes::newHold);
  }

  /**
   * Returns an attempt that has not been sent.
   *
   * @param context objects shared by all requests, not null
   * @param owner notified of the progress of the attempt, not null
   * @param request the request, not null
   * @param replica the replica, not null
   * @param kind kind of the request's route, not null
   * @param exchange exchange with the client that receives the response, not null
   * @return the attempt
   */
  static UpstreamAttempt create(
      RequestContext context,
      Owner owner,
      ClientRequest request,
      UpstreamReplica replica,
      RouteKind kind,
      ClientExchange exchange) {
    return new UpstreamAttempt(context, owner, request, replica, kind, exchange);
  }

  /**
   * Starts to send the request to the replica.
   *
   * @param call the call that forwards the request, not null
   */
  void send(RawCall call) {
    context.replicas().onSent(replica);
    cancellation = context.client().send(call, this);
  }

  @Override
  public boolean revoke() {
    return sendPhase.compareAndSet(SendPhase.WAITING, SendPhase.REVOKED)
        || sendPhase.get() == SendPhase.REVOKED;
  }

  /** Returns the load that the replica states in its response, empty if there is none yet. */
  Optional<StatedLoad> statedLoad() {
    return response == null ? Optional.empty() : response.load();
  }

  /**
   * Abandons the attempt. Its owner is not notified of its end.
   *
   * @param reason cause that the call is cancelled with
   */
  void cancel(String reason) {
    cancelled = true;
    revoke();
    if (!ended) {
      markEnded();
      cancellation.cancel(reason);
    }
  }

  private void markEnded() {
    if (!ended) {
      ended = true;
      bufferHold.ifPresent(HeldBytes.Hold::close);
      context.replicas().onEnded(replica);
    }
  }

  @Override
  public boolean beforeSend() {
    if (!sendPhase.compareAndSet(SendPhase.WAITING, SendPhase.COMMITTED)) {
      return false;
    }
    post(owner::onSendStarted);
    return true;
  }

  @Override
  public void onHeaders(int status, List<HeaderField> fields) {
    UpstreamResponse header = UpstreamResponse.read(request.id(), status, fields);
    response = header;
    framing = BodyFraming.of(fields);
    mediaType = RawReply.first(fields, "Content-Type");
    boolean streamed = kind == RouteKind.STREAM && header.isSuccess() && header.valid();
    if (streamed && !cancelled && exchange.startResponse(header.status(), header.fields())) {
      forwarding = true;
    }
    long now = context.loop().now();
    context.loop().post(() -> applyHeader(header, now));
  }

  private void applyHeader(UpstreamResponse header, long receivedAt) {
    OptionalLong sentAt = header.valid() ? OptionalLong.of(startedAt) : OptionalLong.empty();
    context.announcements().apply(replica, header.signals(), sentAt);
    header
        .load()
        .ifPresent(
            load -> {
              context.paces().onLoad(replica, load);
              context.replicas().onReport(replica, load, receivedAt);
              context
                  .contention()
                  .ifPresent(contention -> contention.onReport(replica, load, receivedAt));
            });
  }

  @Override
  public void onContent(ByteBuffer part, Runnable acknowledge) {
    position.advance(part);
    if (!forwarding) {
      bufferPart(part, acknowledge);
      return;
    }
    if (!startReported) {
      startReported = true;
      post(this::reportStart);
    }
    exchange.writeContent(part, acknowledge);
  }

  private void reportStart() {
    if (!cancelled) {
      owner.onResponseStarted(response.status());
    }
  }

  private void bufferPart(ByteBuffer part, Runnable acknowledge) {
    buffer.write(part.array(), part.arrayOffset() + part.position(), part.remaining());
    bufferHold.ifPresent(hold -> hold.add(part.remaining()));
    boolean tooLarge = buffer.size() > MAX_BUFFERED_BYTES;
    if (!tooLarge && context.heldBytes().map(HeldBytes::isWithinLimit).orElse(true)) {
      acknowledge.run();
      return;
    }
    boolean mayBeRetried = response.notRun() || response.isReplicaFailure();
    boolean forwardable = response.valid() && !cancelled && (tooLarge || !mayBeRetried);
    if (forwardable && exchange.startResponse(response.status(), response.fields())) {
      forwarding = true;
      bufferHold.ifPresent(HeldBytes.Hold::close);
      exchange.writeContent(ByteBuffer.wrap(buffer.toByteArray()), acknowledge);
    } else if (!tooLarge) {
      acknowledge.run();
    } else {
      cancellation.cancel("response cannot be forwarded");
    }
  }

  @Override
  public void onSuccess() {
    post(this::onComplete);
  }

  @Override
  public void onFailure(Throwable cause) {
    // The reason becomes a metric label. Messages contain addresses, which would give the label an
    // unbounded number of values, so only the class name is used.
    post(() -> onBroken(cause.getClass().getSimpleName()));
  }

  /** Runs a step of the owner's request on the event loop. */
  private void post(Runnable step) {
    context.loop().post(() -> owner.runStep(step));
  }

  private void onComplete() {
    if (ended) {
      return;
    }
    markEnded();
    if (forwarding) {
      onForwardedToEnd();
      return;
    }
    if (response.isMisdirected()) {
      context.replicas().onNoResponse(replica, startedAt, context.loop().now());
      owner.onAttemptFailed(SendVerdict.MISDIRECTED, "misdirected", Optional.empty());
      return;
    }
    if (response.notRun()) {
      owner.onAttemptFailed(SendVerdict.NOT_RUN, "not-run-" + response.status(), Optional.empty());
      return;
    }
    if (!response.valid()) {
      context.replicas().onNoResponse(replica, startedAt, context.loop().now());
      owner.onAttemptFailed(SendVerdict.UNKNOWN, "foreign-answer", Optional.empty());
      return;
    }
    if (isTruncatedEventStream()) {
      context.replicas().onNoResponse(replica, startedAt, context.loop().now());
      owner.onAttemptFailed(SendVerdict.UNKNOWN, TRUNCATED, Optional.empty());
      return;
    }
    BufferedResponse buffered =
        new BufferedResponse(response.status(), response.fields(), buffer.toByteArray());
    if (response.isReplicaFailure()) {
      context.replicas().onFailureResponse(replica);
      owner.onAttemptFailed(
          SendVerdict.FAILED, "status-" + response.status(), Optional.of(buffered));
      return;
    }
    reportValidResponse();
    owner.onResponseStarted(response.status());
    owner.onResponseReceived();
    exchange.respond(buffered.status(), buffered.fields(), ByteBuffer.wrap(buffered.body()));
    owner.onResponseForwarded(buffered.status());
  }

  private void reportValidResponse() {
    double millis = elapsedMillis();
    context.replicas().onValidResponse(replica, millis, statedLoad(), context.loop().now());
    context
        .contention()
        .ifPresent(
            contention ->
                statedLoad().ifPresent(load -> contention.onValidResponse(replica, millis, load)));
  }

  private void onForwardedToEnd() {
    if (isTruncatedEventStream()) {
      onForwardedInPart(TRUNCATED);
      return;
    }
    logEndOfStream("between-events");
    context.replicas().onValidResponse(replica, elapsedMillis(), context.loop().now());
    owner.onResponseReceived();
    int status = response.status();
    if (!exchange.endResponse(() -> post(() -> owner.onResponseForwarded(status)))) {
      owner.onResponseForwarded(status);
    }
  }

  private void onForwardedInPart(String reason) {
    logEndOfStream(reason);
    context.replicas().onNoResponse(replica, startedAt, context.loop().now());
    owner.onResponseBroken(reason);
  }

  private void onBroken(String reason) {
    if (ended) {
      return;
    }
    markEnded();
    if (forwarding) {
      onForwardedInPart(reason);
      return;
    }
    context.replicas().onNoResponse(replica, startedAt, context.loop().now());
    if (!revoke()) {
      // Sending had started, so the replica may have run the request.
      owner.onAttemptFailed(SendVerdict.UNKNOWN, reason, Optional.empty());
    } else {
      owner.onAttemptFailed(SendVerdict.NOT_SENT, reason, Optional.empty());
    }
  }

  /**
   * Returns whether a response that HTTP takes for complete is a stream of events that broke off.
   * The end of a connection marks the end of a body without a length, but a crash ends it as well.
   */
  private boolean isTruncatedEventStream() {
    boolean noEvents = framing == BodyFraming.UNTIL_CLOSE && position.events() == 0;
    return isEventStream() && (position.isInsideEvent() || noEvents);
  }

  private boolean isEventStream() {
    return mediaType
        .map(type -> Strings.CI.startsWith(type.stripLeading(), EVENT_STREAM))
        .orElse(kind == RouteKind.STREAM && response.isSuccess() && framing != BodyFraming.LENGTH);
  }

  private void logEndOfStream(String end) {
    context
        .log()
        .write(
            "response-ended",
            "id",
            request.id(),
            "replica",
            replica.id(),
            "framing",
            framing,
            "type",
            mediaType.orElse("-"),
            "events",
            position.events(),
            "bytes",
            position.bytes(),
            "end",
            end);
  }

  private double elapsedMillis() {
    return Nanos.toMillis(context.loop().now() - startedAt);
  }

  /**
   * A complete response of a replica that has not been forwarded.
   *
   * @param status status code
   * @param fields header fields to forward
   * @param body the body
   */
  record BufferedResponse(int status, List<HeaderField> fields, byte[] body) {}

  /** Receives the events of an attempt, on the event loop. */
  interface Owner {

    /**
     * Runs a task that calls the other methods. Exceptions of the task end the request.
     *
     * @param step the task, not null
     */
    void runStep(Runnable step);

    /** Called when the request is about to be sent; from then on the replica may run it. */
    void onSendStarted();

    /**
     * Called when the response to the client has started.
     *
     * @param status status code of the response
     */
    void onResponseStarted(int status);

    /** Called when the complete response has arrived from the replica. */
    void onResponseReceived();

    /**
     * Called when the complete response has been forwarded to the client.
     *
     * @param status status code of the response
     */
    void onResponseForwarded(int status);

    /**
     * Called when the replica's response broke off after its start had been forwarded.
     *
     * @param reason cause of the failure
     */
    void onResponseBroken(String reason);

    /**
     * Called when the attempt has ended and nothing has been forwarded to the client.
     *
     * @param verdict how the attempt ended
     * @param reason cause of the failure
     * @param response the replica's error response if the verdict is {@link SendVerdict#FAILED},
     *     empty otherwise
     */
    void onAttemptFailed(SendVerdict verdict, String reason, Optional<BufferedResponse> response);
  }
}
