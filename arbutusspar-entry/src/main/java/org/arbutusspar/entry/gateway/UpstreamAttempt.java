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
  private static final int MAX_GATHERED_BYTES = 1 << 20;

  /** Whether the replica may have seen the request. */
  private enum Phase {
    WAITING,
    HANDED_OVER,
    REVOKED
  }

  private final RequestContext context;
  private final Owner owner;
  private final ClientRequest request;
  private final UpstreamReplica replica;
  private final RouteKind kind;
  private final ClientExchange exchange;
  private final long startedAt;
  private final ByteArrayOutputStream gathered = new ByteArrayOutputStream();
  private volatile RawClient.Cancellation cancellation;
  private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.WAITING);
  private volatile UpstreamResponse response;
  private volatile boolean passingOn;
  private volatile boolean cancelled;
  private boolean told;
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
    return phase.compareAndSet(Phase.WAITING, Phase.REVOKED) || phase.get() == Phase.REVOKED;
  }

  /** Gives the attempt up; its owner is told nothing more. */
  void cancel(String reason) {
    cancelled = true;
    revoke();
    if (!ended) {
      finish();
      cancellation.cancel(reason);
    }
  }

  private void finish() {
    if (!ended) {
      ended = true;
      context.replicas().onEnded(replica);
    }
  }

  @Override
  public boolean beforeSend() {
    if (!phase.compareAndSet(Phase.WAITING, Phase.HANDED_OVER)) {
      return false;
    }
    context.loop().post(owner::onSent);
    return true;
  }

  @Override
  public void onHeaders(int status, List<HeaderField> fields) {
    UpstreamResponse read = UpstreamResponse.read(request.id(), status, fields);
    response = read;
    boolean stream = kind == RouteKind.STREAM && read.isSuccess() && read.valid();
    if (stream && !cancelled && exchange.begin(read.status(), read.fields())) {
      passingOn = true;
    }
    long now = context.loop().now();
    read.runningAndWaiting()
        .ifPresent(
            count -> context.loop().post(() -> context.replicas().onReport(replica, count, now)));
  }

  @Override
  public void onContent(ByteBuffer part, Runnable acknowledge) {
    if (!passingOn) {
      gather(part, acknowledge);
      return;
    }
    if (!told) {
      told = true;
      context.loop().post(this::tellBegun);
    }
    exchange.write(part, acknowledge);
  }

  private void tellBegun() {
    if (!cancelled) {
      owner.onBegun(response.status());
    }
  }

  private void gather(ByteBuffer part, Runnable acknowledge) {
    gathered.write(part.array(), part.arrayOffset() + part.position(), part.remaining());
    if (gathered.size() <= MAX_GATHERED_BYTES) {
      acknowledge.run();
      return;
    }
    boolean whole = response.valid() && !cancelled;
    if (whole && exchange.begin(response.status(), response.fields())) {
      passingOn = true;
      exchange.write(ByteBuffer.wrap(gathered.toByteArray()), acknowledge);
    } else {
      cancellation.cancel("answer cannot be passed on");
    }
  }

  @Override
  public void onSuccess() {
    context.loop().post(this::whole);
  }

  @Override
  public void onFailure(Throwable cause) {
    // The class names the cause; the message holds addresses, too many values for a metric's label.
    context.loop().post(() -> broken(cause.getClass().getSimpleName()));
  }

  private void whole() {
    if (ended) {
      return;
    }
    finish();
    if (passingOn) {
      context.replicas().onValidResponse(replica, millis());
      exchange.end();
      owner.onAnswered(response.status());
      return;
    }
    if (response.isMisdirected()) {
      context.replicas().onNoResponse(replica, context.loop().now());
      owner.onEndedWithout(SendVerdict.MISDIRECTED, "misdirected", Optional.empty());
      return;
    }
    if (response.notRun()) {
      owner.onEndedWithout(SendVerdict.NOT_RUN, "not-run-" + response.status(), Optional.empty());
      return;
    }
    if (!response.valid()) {
      context.replicas().onNoResponse(replica, context.loop().now());
      owner.onEndedWithout(SendVerdict.UNKNOWN, "foreign-answer", Optional.empty());
      return;
    }
    WholeAnswer whole =
        new WholeAnswer(response.status(), response.fields(), gathered.toByteArray());
    if (response.isReplicaFailure()) {
      context.replicas().onFailureResponse(replica);
      owner.onEndedWithout(SendVerdict.FAILED, "status-" + response.status(), Optional.of(whole));
      return;
    }
    context.replicas().onValidResponse(replica, millis());
    owner.onBegun(response.status());
    exchange.reply(whole.status(), whole.fields(), ByteBuffer.wrap(whole.body()));
    owner.onAnswered(whole.status());
  }

  private void broken(String reason) {
    if (ended) {
      return;
    }
    finish();
    context.replicas().onNoResponse(replica, context.loop().now());
    if (passingOn) {
      owner.onResponseBroken(reason);
    } else if (!revoke()) {
      owner.onEndedWithout(SendVerdict.UNKNOWN, reason, Optional.empty());
    } else {
      owner.onEndedWithout(SendVerdict.NOT_SENT, reason, Optional.empty());
    }
  }

  private double millis() {
    return Nanos.toMillis(context.loop().now() - startedAt);
  }

  /**
   * A whole answer of a replica.
   *
   * @param status status code
   * @param fields header fields to pass on
   * @param body the body
   */
  record WholeAnswer(int status, List<HeaderField> fields, byte[] body) {}

  /** Told on the loop how an attempt goes. */
  interface Owner {

    /** The request is being handed to the replica. */
    void onSent();

    /**
     * The answer has begun.
     *
     * @param status its status code
     */
    void onBegun(int status);

    /**
     * The client has been given the whole answer.
     *
     * @param status its status code
     */
    void onAnswered(int status);

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
    void onEndedWithout(SendVerdict verdict, String reason, Optional<WholeAnswer> answer);
  }
}
