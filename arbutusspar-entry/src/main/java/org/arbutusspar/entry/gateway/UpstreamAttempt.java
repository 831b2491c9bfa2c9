package org.arbutusspar.entry.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.placement.SendVerdict;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.routing.RouteKind;
import org.arbutusspar.io.http.HeaderField;
import org.arbutusspar.io.http.RawCall;
import org.arbutusspar.io.http.RawClient;
import org.arbutusspar.io.http.RawListener;
import org.arbutusspar.platform.ClientRequest;
import org.arbutusspar.platform.UpstreamResponse;

/**
 * One attempt at one replica. Answers of streams are passed on as they come; other answers are
 * gathered first, so that one that breaks off is never begun. The owner is told on the loop.
 */
final class UpstreamAttempt implements RawListener {

  /** Answers up to this size are gathered before they are passed on. */
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  /** Whether the replica may have seen the request. */
  private enum SendPhase {
    WAITING,
    COMMITTED,
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
  private volatile RawClient.Cancellation cancellation;
  private final AtomicReference<SendPhase> sendPhase = new AtomicReference<>(SendPhase.WAITING);
  private volatile UpstreamResponse response;
  private volatile boolean forwarding;
  private volatile boolean cancelled;
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
  }

  /** Sends a request. */
  static UpstreamAttempt start(
      RequestContext context,
      Owner owner,
      ClientRequest request,
      RawCall call,
      UpstreamReplica replica,
      RouteKind kind,
      ClientExchange exchange) {
    UpstreamAttempt attempt = new UpstreamAttempt(context, owner, request, replica, kind, exchange);
    context.replicas().onSent(replica);
    attempt.cancellation = context.client().send(call, attempt);
    return attempt;
  }

  /** Returns whether the attempt has not ended. */
  boolean isActive() {
    return !ended;
  }

  /**
   * Keeps the request from being handed to the replica.
   *
   * @return true if no byte has been and none will be handed over
   */
  boolean revoke() {
    return sendPhase.compareAndSet(SendPhase.WAITING, SendPhase.REVOKED)
        || sendPhase.get() == SendPhase.REVOKED;
  }

  /** Gives the attempt up; its owner is told nothing more. */
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
      context.replicas().onEnded(replica);
    }
  }

  @Override
  public boolean beforeSend() {
    if (!sendPhase.compareAndSet(SendPhase.WAITING, SendPhase.COMMITTED)) {
      return false;
    }
    context.loop().post(owner::onSendStarted);
    return true;
  }

  @Override
  public void onHeaders(int status, List<HeaderField> fields) {
    UpstreamResponse header = UpstreamResponse.read(request.id(), status, fields);
    response = header;
    boolean streamed = kind == RouteKind.STREAM && header.isSuccess() && header.valid();
    if (streamed && !cancelled && exchange.startResponse(header.status(), header.fields())) {
      forwarding = true;
    }
    long now = context.loop().now();
    header
        .runningAndWaiting()
        .ifPresent(
            inFlight ->
                context.loop().post(() -> context.replicas().onReport(replica, inFlight, now)));
  }

  @Override
  public void onContent(ByteBuffer part, Runnable acknowledge) {
    if (!forwarding) {
      bufferPart(part, acknowledge);
      return;
    }
    if (!startReported) {
      startReported = true;
      context.loop().post(this::reportStart);
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
    if (buffer.size() <= MAX_BUFFERED_BYTES) {
      acknowledge.run();
      return;
    }
    boolean forwardable = response.valid() && !cancelled;
    if (forwardable && exchange.startResponse(response.status(), response.fields())) {
      forwarding = true;
      exchange.writeContent(ByteBuffer.wrap(buffer.toByteArray()), acknowledge);
    } else {
      cancellation.cancel("answer cannot be passed on");
    }
  }

  @Override
  public void onSuccess() {
    context.loop().post(this::onComplete);
  }

  @Override
  public void onFailure(Throwable cause) {
    // The class names the cause; the message holds addresses, too many values for a metric's label.
    context.loop().post(() -> onBroken(cause.getClass().getSimpleName()));
  }

  private void onComplete() {
    if (ended) {
      return;
    }
    markEnded();
    if (forwarding) {
      context.replicas().onValidResponse(replica, elapsedMillis());
      exchange.endResponse();
      owner.onResponseForwarded(response.status());
      return;
    }
    if (response.isMisdirected()) {
      context.replicas().onNoResponse(replica, context.loop().now());
      owner.onAttemptFailed(SendVerdict.MISDIRECTED, "misdirected", Optional.empty());
      return;
    }
    if (response.notRun()) {
      owner.onAttemptFailed(SendVerdict.NOT_RUN, "not-run-" + response.status(), Optional.empty());
      return;
    }
    if (!response.valid()) {
      context.replicas().onNoResponse(replica, context.loop().now());
      owner.onAttemptFailed(SendVerdict.UNKNOWN, "foreign-answer", Optional.empty());
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
    context.replicas().onValidResponse(replica, elapsedMillis());
    owner.onResponseStarted(response.status());
    exchange.respond(buffered.status(), buffered.fields(), ByteBuffer.wrap(buffered.body()));
    owner.onResponseForwarded(buffered.status());
  }

  private void onBroken(String reason) {
    if (ended) {
      return;
    }
    markEnded();
    context.replicas().onNoResponse(replica, context.loop().now());
    if (forwarding) {
      owner.onResponseBroken(reason);
    } else if (!revoke()) {
      owner.onAttemptFailed(SendVerdict.UNKNOWN, reason, Optional.empty());
    } else {
      owner.onAttemptFailed(SendVerdict.NOT_SENT, reason, Optional.empty());
    }
  }

  private double elapsedMillis() {
    return Nanos.toMillis(context.loop().now() - startedAt);
  }

  /**
   * A whole answer of a replica.
   *
   * @param status status code
   * @param fields header fields to pass on
   * @param body the body
   */
  record BufferedResponse(int status, List<HeaderField> fields, byte[] body) {}

  /** Told on the loop how an attempt goes. */
  interface Owner {

    /** The request is being handed to the replica. */
    void onSendStarted();

    /**
     * The answer has begun.
     *
     * @param status its status code
     */
    void onResponseStarted(int status);

    /**
     * The client has been given the whole answer.
     *
     * @param status its status code
     */
    void onResponseForwarded(int status);

    /**
     * The answer broke off after it had been begun.
     *
     * @param reason why
     */
    void onResponseBroken(String reason);

    /**
     * The attempt ended without an answer that was passed on.
     *
     * @param verdict what may be told of the request
     * @param reason why
     * @param answer the replica's failure as it answered it, if it did
     */
    void onAttemptFailed(SendVerdict verdict, String reason, Optional<BufferedResponse> response);
  }
}
