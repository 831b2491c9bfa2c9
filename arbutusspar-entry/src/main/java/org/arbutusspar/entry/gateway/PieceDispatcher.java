package org.arbutusspar.entry.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.peer.ActiveRoles;
import org.arbutusspar.core.peer.PeerTable;
import org.arbutusspar.core.placement.ReplicaRateLimits;
import org.arbutusspar.core.placement.ReplicaRegistry;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.routing.PieceLimits;
import org.arbutusspar.core.routing.ServingState;
import org.arbutusspar.core.stage.Piece;
import org.arbutusspar.core.stage.PieceBatcher;
import org.arbutusspar.core.stage.PieceCall;
import org.arbutusspar.core.stage.PieceId;
import org.arbutusspar.core.stage.PieceOutcome;
import org.arbutusspar.core.stage.PieceResponse;
import org.arbutusspar.core.stage.QueueWait;
import org.arbutusspar.core.stage.RecentReleases;
import org.arbutusspar.core.stage.StageResult;
import org.arbutusspar.core.stage.UrgencyOrder;
import org.arbutusspar.io.EventLog;
import org.arbutusspar.io.http.RawClient;
import org.arbutusspar.io.http.RawReply;
import org.arbutusspar.io.link.PeerMessage;
import org.arbutusspar.platform.PieceCalls;
import org.arbutusspar.platform.ReplicaSignals;

/**
 * Dispatches pieces, the units of work of the stages of requests, to worker replicas.
 *
 * <p>For each service, one instance is the batcher: it queues the pieces of all instances and puts
 * them into calls. This class does both sides. It sends the pieces of this instance's requests to
 * their batcher, and it queues and calls for the services that this instance batches. If a batcher
 * cannot be reached, its pieces are queued here instead.
 *
 * <p>Not thread-safe: all methods run on the event loop.
 */
final class PieceDispatcher {

  /** Call timeout as a multiple of the call's expected duration, before the fixed margin. */
  private static final double CALL_TIMEOUT_FACTOR = 3;

  /** Fixed margin that is added to each call timeout, in milliseconds. */
  private static final long CALL_TIMEOUT_MARGIN_MILLIS = 400;

  /** Maximum delay of a release, in milliseconds, so that one call can release many results. */
  private static final long RELEASE_DELAY_MILLIS = 60;

  /**
   * Interval at which releases to a replica that wants no requests now are tried again, in
   * milliseconds.
   */
  private static final long RELEASE_CHECK_INTERVAL_MILLIS = 200;

  /** Interval of queue checks while pieces are queued here, in milliseconds. */
  private static final long QUEUE_CHECK_INTERVAL_MILLIS = 100;

  /**
   * Age in milliseconds after which the replicas' reported free memory is outdated: a batcher that
   * received no pieces for longer queries it again.
   */
  private static final long MEMORY_REPORT_LIFETIME_MILLIS = 2_000;

  /**
   * Time in milliseconds that a peer has to reconnect after its connection broke. After it, the
   * results of the peer's requests are released.
   */
  private static final long RECONNECT_TIMEOUT_MILLIS = 1_000;

  private final PeerTable peers;
  private final PeerNetwork peerNetwork;
  private final ReplicaRegistry replicas;
  private final ReplicaRateLimits rateLimits;
  private final DeferredReleases releases;
  private final ReplicaAnnouncements announcements;
  private final RawClient client;
  private final EventLoop loop;
  private final EventLog log;
  private final String self;
  private final Map<String, PieceBatcher> batchers = new HashMap<>();
  private final ActiveRoles activeRoles = ActiveRoles.create();
  private final Map<PieceId, PendingPiece> pending = new LinkedHashMap<>();
  private final List<String> handlesToRelease = new ArrayList<>();

  /**
   * Releases sent to other batchers. They are remembered for longer than it takes to detect the
   * loss of a peer, so that this instance can release the results itself if the peer may not have
   * received them.
   */
  private final RecentReleases recentReleases =
      RecentReleases.create(
          Nanos.ofMillis(
              PeerNetwork.HUB_LIVENESS_TIMEOUT_MILLIS + 2 * PeerNetwork.TICK_INTERVAL_MILLIS));

  private boolean releaseScheduled;
  private boolean queueCheckScheduled;

  /** Configuration in force, or null before the first one. */
  private ServingState state;

  private Runnable onQueueWaitsChanged = () -> {};

  PieceDispatcher(
      PeerTable peers,
      PeerNetwork peerNetwork,
      ReplicaRegistry replicas,
      ReplicaRateLimits rateLimits,
      ReplicaAnnouncements announcements,
      RawClient client,
      EventLoop loop,
      EventLog log) {
    this.peers = peers;
    this.peerNetwork = peerNetwork;
    this.replicas = replicas;
    this.rateLimits = rateLimits;
    this.releases = DeferredReleases.create(replicas, rateLimits);
    this.announcements = announcements;
    this.client = client;
    this.loop = loop;
    this.log = log;
    this.self = peers.self().name();
  }

  /**
   * Sets the task that runs when the queue waits of this instance's batchers may have changed.
   *
   * @param task the task, not null
   */
  void onQueueWaitsChanged(Runnable task) {
    onQueueWaitsChanged = task;
  }

  /**
   * Applies a new configuration.
   *
   * @param newState the configuration's routes and limits, not null
   */
  void onState(ServingState newState) {
    state = newState;
    batchers
        .values()
        .forEach(batcher -> newState.pieceLimits(batcher.service()).ifPresent(batcher::limits));
  }

  /** Passes the changed list of replicas to the batchers and sends the calls that it allows. */
  void onReplicas() {
    for (PieceBatcher batcher : batchers.values()) {
      batcher.replicas(replicas.notLeaving(batcher.service()));
      dispatchQueued(batcher);
    }
  }

  /**
   * Submits pieces to the batcher of their service.
   *
   * @param service name of the service that computes the pieces, not null
   * @param pieces the pieces, not null
   * @param requester receives the outcome of each piece, not null
   */
  void submit(String service, List<Piece> pieces, Requester requester) {
    String batcher = peers.roleHolder(service, loop.now());
    pieces.forEach(p -> pending.put(p.id(), new PendingPiece(p, service, requester, batcher)));
    sendToBatcher(service, batcher, pieces);
  }

  /** Sends pieces to their batcher, or queues them here if it is this instance or unreachable. */
  private void sendToBatcher(String service, String batcher, List<Piece> pieces) {
    if (batcher.equals(self)) {
      enqueue(service, pieces);
    } else if (!peerNetwork.send(batcher, new PeerMessage.Pieces(service, pieces))) {
      pieces.forEach(piece -> pending.get(piece.id()).batcher = self);
      enqueue(service, pieces);
    }
  }

  /**
   * Cancels the pieces of a request, whose outcomes are then no longer reported.
   *
   * @param requestId identifier of the request, not null
   */
  void cancel(String requestId) {
    List<PendingPiece> cancelled =
        pending.values().stream()
            .filter(pendingPiece -> pendingPiece.piece.id().requestId().equals(requestId))
            .toList();
    cancelled.forEach(pendingPiece -> pending.remove(pendingPiece.piece.id()));
    cancelled.stream()
        .map(pendingPiece -> pendingPiece.batcher)
        .distinct()
        .forEach(
            name -> {
              if (name.equals(self)) {
                cancelQueued(requestId);
              } else {
                peerNetwork.send(name, new PeerMessage.Cancel(requestId));
              }
            });
  }

  private void cancelQueued(String requestId) {
    batchers.values().forEach(batcher -> batcher.cancel(requestId));
  }

  /**
   * Releases results that are no longer needed. Each release goes through the batcher of the
   * result, which accounts for the memory of the replicas, or is sent from here if the batcher is
   * unreachable.
   *
   * @param results the results, not null
   */
  void release(Collection<StageResult> results) {
    Map<String, List<String>> byBatcher = new HashMap<>();
    for (StageResult result : results) {
      byBatcher
          .computeIfAbsent(result.batcher(), batcher -> new ArrayList<>())
          .add(result.handle());
    }
    byBatcher.forEach(
        (name, handles) -> {
          if (name.equals(self) || !peerNetwork.send(name, new PeerMessage.Release(handles))) {
            scheduleRelease(handles);
          } else {
            recentReleases.record(name, handles, loop.now());
          }
        });
  }

  /** Releases results from this instance: at once if memory is scarce, else after a delay. */
  private void scheduleRelease(List<String> handles) {
    handlesToRelease.addAll(handles);
    if (batchers.values().stream().anyMatch(PieceBatcher::isMemoryScarce)) {
      sendReleases();
    } else if (!releaseScheduled) {
      releaseScheduled = true;
      loop.after(RELEASE_DELAY_MILLIS, this::sendReleases);
    }
  }

  private void sendReleases() {
    releaseScheduled = false;
    List<PieceCalls.ReleaseCall> calls = PieceCalls.releaseCalls(handlesToRelease);
    handlesToRelease.clear();
    calls.forEach(this::sendRelease);
  }

  private void sendRelease(PieceCalls.ReleaseCall release) {
    DeferredReleases.Decision decision = releases.decide(release.call().endpoint(), loop.now());
    if (decision == DeferredReleases.Decision.SEND) {
      client
          .fetch("release", release.call())
          .whenComplete((reply, failure) -> loop.post(() -> onReleased(release, reply, failure)));
    } else if (decision == DeferredReleases.Decision.DEFER) {
      loop.after(RELEASE_CHECK_INTERVAL_MILLIS, () -> scheduleRelease(release.handles()));
    } else {
      log.write(
          "release-dropped",
          "replica",
          release.call().endpoint(),
          "results",
          release.handles().size());
    }
  }

  private void onReleased(PieceCalls.ReleaseCall release, RawReply reply, Throwable failure) {
    replicas
        .findAt(release.call().endpoint())
        .ifPresent(replica -> applyAnnouncements(replica, reply, OptionalLong.empty()));
    if (failure != null) {
      log.write(
          "release-failed",
          "replica",
          release.call().endpoint(),
          "results",
          release.handles().size(),
          "error",
          failure.getMessage());
      return;
    }
    for (PieceBatcher batcher : batchers.values()) {
      release.handles().forEach(batcher::onReleased);
      dispatchQueued(batcher);
    }
  }

  /**
   * Applies what a replica announces in a response, null if there is none.
   *
   * @param sentAt see {@link ReplicaAnnouncements#apply}
   */
  private void applyAnnouncements(UpstreamReplica replica, RawReply reply, OptionalLong sentAt) {
    if (reply == null) {
      return;
    }
    ReplicaSignals signals = ReplicaSignals.read(reply.status(), reply.fields());
    PieceBatcher batcher = batchers.get(replica.service());
    if (batcher != null) {
      signals
          .backoffMillis()
          .ifPresent(millis -> batcher.backOff(replica.id(), millis, loop.now()));
    }
    announcements.apply(replica, signals, sentAt);
  }

  /** Returns the expected queue wait of a new piece, by name of each service batched here. */
  Map<String, QueueWait> queueWaits() {
    Map<String, QueueWait> queueWaits = new HashMap<>();
    for (PieceBatcher batcher : batchers.values()) {
      queueWaits.put(batcher.service(), batcher.queueWait(loop.now()));
    }
    return queueWaits;
  }

  /** Returns the names of the services for which this instance holds an active batcher role. */
  Set<String> activeRoles() {
    return activeRoles.roles(loop.now());
  }

  /**
   * Handles a message from a peer. Messages that do not concern pieces are ignored.
   *
   * @param name name of the peer, not null
   * @param message the message, not null
   */
  void onMessage(String name, PeerMessage message) {
    if (message instanceof PeerMessage.Pieces pieces) {
      enqueue(pieces.service(), pieces.pieces());
    } else if (message instanceof PeerMessage.Outcomes outcomes) {
      outcomes.outcomes().forEach(outcome -> onOutcomeFrom(name, outcome));
    } else if (message instanceof PeerMessage.Cancel cancel) {
      cancelQueued(cancel.requestId());
    } else if (message instanceof PeerMessage.Release release) {
      scheduleRelease(release.handles());
    }
  }

  /**
   * Handles the loss of the connection to a peer. Pieces of this instance that the peer batched are
   * reassigned to another batcher. Pieces of the peer's requests that are queued here are dropped:
   * the peer has either terminated or reassigns them to another batcher itself.
   *
   * @param name name of the peer, not null
   */
  void onDown(String name) {
    List<PendingPiece> orphaned =
        pending.values().stream()
            .filter(pendingPiece -> pendingPiece.batcher.equals(name))
            .toList();
    reassign(name, orphaned);
    List<String> unreleased = recentReleases.takeUnconfirmed(name, loop.now());
    if (!unreleased.isEmpty()) {
      log.write("releases-repeated", "fellow", name, "results", unreleased.size());
      scheduleRelease(unreleased);
    }
    for (PieceBatcher batcher : batchers.values()) {
      batcher.cancelOrigin(name);
      dispatchQueued(batcher);
    }
    Optional<Long> incarnation = peers.incarnation(name);
    loop.after(RECONNECT_TIMEOUT_MILLIS, () -> releaseOrphanedResults(name, incarnation));
  }

  /** Releases the results of a peer's requests unless the same incarnation is live again. */
  private void releaseOrphanedResults(String name, Optional<Long> incarnation) {
    if (peers.isLive(name, loop.now()) && peers.incarnation(name).equals(incarnation)) {
      return;
    }
    List<String> handles =
        batchers.values().stream().flatMap(batcher -> batcher.storedFor(name).stream()).toList();
    if (!handles.isEmpty()) {
      log.write("results-orphaned", "fellow", name, "results", handles.size());
      scheduleRelease(handles);
    }
  }

  /** Reassigns pieces of this instance's requests from a batcher that no longer has them. */
  private void reassign(String formerBatcher, List<PendingPiece> pieces) {
    Map<String, List<Piece>> byService = new HashMap<>();
    for (PendingPiece pendingPiece : pieces) {
      byService
          .computeIfAbsent(pendingPiece.service, s -> new ArrayList<>())
          .add(pendingPiece.piece);
    }
    byService.forEach(
        (service, servicePieces) ->
            reassignTo(
                batcherInsteadOf(service, formerBatcher), formerBatcher, service, servicePieces));
  }

  /** Returns the current batcher, or this instance if that is still the former batcher. */
  private String batcherInsteadOf(String service, String formerBatcher) {
    String holder = peers.roleHolder(service, loop.now());
    return holder.equals(formerBatcher) ? self : holder;
  }

  private void reassignTo(
      String newBatcher, String formerBatcher, String service, List<Piece> pieces) {
    pieces.forEach(piece -> pending.get(piece.id()).batcher = newBatcher);
    log.write(
        "pieces-moved",
        "service",
        service,
        "from",
        formerBatcher,
        "to",
        newBatcher,
        "pieces",
        pieces.size());
    sendToBatcher(service, newBatcher, pieces);
  }

  /** Queues pieces at this instance as their batcher and sends the calls that are possible. */
  private void enqueue(String service, List<Piece> pieces) {
    Optional<PieceLimits> limits = state == null ? Optional.empty() : state.pieceLimits(service);
    if (limits.isEmpty()) {
      reportFailures(pieces, PieceOutcome.FAILED);
      return;
    }
    PieceBatcher batcher = batchers.get(service);
    if (batcher == null) {
      batcher = PieceBatcher.create(service, limits.get(), UrgencyOrder.create(), releases);
      batcher.replicas(replicas.notLeaving(service));
      batchers.put(service, batcher);
    }
    OptionalLong lastUsed = activeRoles.markUsed(service, loop.now());
    if (lastUsed.isEmpty()
        || loop.now() - lastUsed.getAsLong() > Nanos.ofMillis(MEMORY_REPORT_LIFETIME_MILLIS)) {
      queryMemory(batcher);
    }
    pieces.forEach(batcher::submit);
    logEnqueued(batcher, pieces);
    dispatchQueued(batcher);
    onQueueWaitsChanged.run();
  }

  /** Logs a line for each request and stage, so that a request's trace includes its batcher. */
  private void logEnqueued(PieceBatcher batcher, List<Piece> pieces) {
    Map<PieceId, Integer> counts = new LinkedHashMap<>();
    pieces.forEach(
        p -> counts.merge(new PieceId(p.id().requestId(), p.id().stage(), 0), 1, Integer::sum));
    counts.forEach(
        (stageKey, count) ->
            log.write(
                "pieces-taken",
                "id",
                stageKey.requestId(),
                "stage",
                stageKey.stage(),
                "pieces",
                count,
                "service",
                batcher.service(),
                "waiting",
                batcher.waiting()));
  }

  private void queryMemory(PieceBatcher batcher) {
    for (UpstreamReplica replica : replicas.notLeaving(batcher.service())) {
      if (replicas.isBackingOff(replica, loop.now()) || rateLimits.isLimited(replica)) {
        continue;
      }
      client
          .fetch("report", PieceCalls.memoryQuery(replica.endpoint()))
          .whenComplete(
              (reply, failure) -> loop.post(() -> onMemoryReport(batcher, replica, reply)));
    }
  }

  private void onMemoryReport(PieceBatcher batcher, UpstreamReplica replica, RawReply reply) {
    applyAnnouncements(replica, reply, OptionalLong.empty());
    OptionalLong free = reply == null ? OptionalLong.empty() : PieceCalls.freeBytes(reply);
    log.write(
        "room",
        "service",
        batcher.service(),
        "replica",
        replica.id(),
        "free_bytes",
        free.isPresent() ? free.getAsLong() : "unknown");
    free.ifPresent(bytes -> batcher.onFreeMemory(replica.id(), bytes, loop.now()));
  }

  /**
   * Returns the queued pieces to their origins if another instance is the batcher now. The origins
   * reassign them, so that a single queue holds all pieces of the service.
   */
  private void reassignQueue(PieceBatcher batcher) {
    String holder = peers.roleHolder(batcher.service(), loop.now());
    if (holder.equals(self) || batcher.waiting() == 0) {
      return;
    }
    List<Piece> waiting = batcher.takeWaiting();
    log.write(
        "queue-handed-over", "service", batcher.service(), "to", holder, "pieces", waiting.size());
    reportFailures(waiting, PieceOutcome.REASSIGNED);
  }

  /**
   * Drops expired pieces and sends the calls for which replicas have capacity. If all replicas are
   * evacuated, all pieces are dropped, so that their requests are rejected at once.
   */
  private void dispatchQueued(PieceBatcher batcher) {
    long now = loop.now();
    if (batcher.waiting() > 0 && replicas.isEvacuated(batcher.service())) {
      List<Piece> waiting = batcher.takeWaiting();
      log.write("pieces-evacuated", "service", batcher.service(), "pieces", waiting.size());
      reportFailures(waiting, PieceOutcome.FAILED);
      return;
    }
    List<Piece> expired = batcher.expire(now);
    for (Piece droppedPiece : expired) {
      log.write(
          "piece-given-up",
          "id",
          droppedPiece.id().requestId(),
          "stage",
          droppedPiece.id().stage(),
          "waiting",
          batcher.waiting(),
          "left_ms",
          Math.round(Nanos.toMillis(droppedPiece.deadline() - now)));
    }
    reportFailures(expired, PieceOutcome.LATE);
    batcher.nextCalls(now).forEach(call -> send(batcher, call));
    if (batcher.waiting() > 0) {
      scheduleQueueCheck();
    }
  }

  private void scheduleQueueCheck() {
    if (!queueCheckScheduled) {
      queueCheckScheduled = true;
      loop.after(
          QUEUE_CHECK_INTERVAL_MILLIS,
          () -> {
            queueCheckScheduled = false;
            batchers.values().forEach(this::reassignQueue);
            batchers.values().forEach(this::dispatchQueued);
          });
    }
  }

  private void send(PieceBatcher batcher, PieceCall call) {
    long callTimeoutMillis =
        (long) (Nanos.toMillis(call.expectedNanos()) * CALL_TIMEOUT_FACTOR)
            + CALL_TIMEOUT_MARGIN_MILLIS;
    log.write(
        "piece-call",
        "service",
        batcher.service(),
        "call",
        call.number(),
        "replica",
        call.replica().id(),
        "pieces",
        call.pieces().size(),
        "far",
        call.crossDataCentrePieces(),
        "waiting",
        batcher.waiting(),
        "expected_ms",
        Math.round(Nanos.toMillis(call.expectedNanos())));
    client
        .fetch("piece-call", PieceCalls.batchCall(call, loop.now(), callTimeoutMillis))
        .whenComplete(
            (reply, failure) -> loop.post(() -> onCallEnded(batcher, call, reply, failure)));
  }

  private void onCallEnded(
      PieceBatcher batcher, PieceCall call, RawReply reply, Throwable failure) {
    long now = loop.now();
    Optional<List<PieceResponse>> responses =
        failure == null ? PieceCalls.responses(reply) : Optional.empty();
    PieceBatcher.Completion completion;
    if (responses.isPresent()) {
      completion = batcher.complete(call.number(), responses.get(), self, now);
    } else {
      boolean full = failure == null && PieceCalls.isNotRun(reply);
      completion = batcher.fail(call.number(), full, now);
      log.write(
          "piece-call-failed",
          "service",
          batcher.service(),
          "call",
          call.number(),
          "replica",
          call.replica().id(),
          "full",
          full,
          "error",
          failure == null ? "status " + reply.status() : failure.getMessage());
    }
    applyAnnouncements(
        call.replica(),
        reply,
        responses.isPresent() ? OptionalLong.of(call.startedAt()) : OptionalLong.empty());
    reportOutcomes(call.pieces(), completion.outcomes());
    if (!completion.toRelease().isEmpty()) {
      release(completion.toRelease());
    }
    dispatchQueued(batcher);
  }

  private void reportFailures(List<Piece> pieces, String reason) {
    reportOutcomes(pieces, pieces.stream().map(p -> PieceOutcome.failed(p.id(), reason)).toList());
  }

  /** Reports outcomes to the instances that serve the requests of the pieces. */
  private void reportOutcomes(List<Piece> pieces, List<PieceOutcome> outcomes) {
    Map<PieceId, String> origins = new HashMap<>();
    pieces.forEach(piece -> origins.put(piece.id(), piece.origin()));
    Map<String, List<PieceOutcome>> byOrigin = new LinkedHashMap<>();
    for (PieceOutcome outcome : outcomes) {
      byOrigin.computeIfAbsent(origins.get(outcome.id()), origin -> new ArrayList<>()).add(outcome);
    }
    byOrigin.forEach(this::reportTo);
  }

  private void reportTo(String origin, List<PieceOutcome> outcomes) {
    if (origin.equals(self)) {
      outcomes.forEach(outcome -> onOutcomeFrom(self, outcome));
    } else if (!peerNetwork.send(origin, new PeerMessage.Outcomes(outcomes))) {
      outcomes.forEach(outcome -> outcome.result().ifPresent(r -> release(List.of(r))));
    }
  }

  /** Handles the outcome of a piece of this instance, which its batcher reported. */
  private void onOutcomeFrom(String batcher, PieceOutcome outcome) {
    PendingPiece pendingPiece = pending.get(outcome.id());
    if (pendingPiece != null && outcome.reason().equals(PieceOutcome.REASSIGNED)) {
      reassign(batcher, List.of(pendingPiece));
    } else {
      onOutcome(outcome);
    }
  }

  private void onOutcome(PieceOutcome outcome) {
    PendingPiece pendingPiece = pending.remove(outcome.id());
    if (pendingPiece == null) {
      outcome.result().ifPresent(result -> release(List.of(result)));
      return;
    }
    pendingPiece.requester.onPieceEnded(outcome);
  }

  /** Returns the number of pieces queued at this instance, of the requests of all instances. */
  int waitingPieces() {
    return batchers.values().stream().mapToInt(PieceBatcher::waiting).sum();
  }

  /**
   * Returns whether there is no work in progress.
   *
   * @return true if no request of this instance awaits a piece, and no piece is queued or in a call
   *     here
   */
  boolean isIdle() {
    return pending.isEmpty()
        && batchers.values().stream()
            .allMatch(batcher -> batcher.waiting() + batcher.callsInProgress() == 0);
  }

  /** Receives the outcomes of the pieces that it submitted. */
  interface Requester {

    /**
     * Called on the event loop when a piece has been computed or dropped.
     *
     * @param outcome the outcome of the piece
     */
    void onPieceEnded(PieceOutcome outcome);
  }

  /** A submitted piece of this instance's requests whose outcome is outstanding. */
  private static final class PendingPiece {
    private final Piece piece;
    private final String service;
    private final Requester requester;
    private String batcher;

    private PendingPiece(Piece piece, String service, Requester requester, String batcher) {
      this.piece = piece;
      this.service = service;
      this.requester = requester;
      this.batcher = batcher;
    }
  }
}
