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

/**
 * Has the pieces of this instance's requests made, by itself or by the instance that gathers the
 * pieces of a service, and gathers those of other instances. Runs on the loop.
 */
final class PieceDispatcher {

  /** A call may take this many times its expected time, and then some. */
  private static final double CALL_TIMEOUT_FACTOR = 3;

  private static final long CALL_TIMEOUT_MARGIN_MILLIS = 400;

  /** Longest time for which releases wait for others, so that one call releases many. */
  private static final long RELEASE_DELAY_MILLIS = 60;

  private static final long QUEUE_CHECK_INTERVAL_MILLIS = 100;

  /** A gatherer that had no pieces for this long asks the replicas how much room they have. */
  private static final long MEMORY_REPORT_LIFETIME_MILLIS = 2_000;

  /** An instance whose connection broke and that has not come back within this time is gone. */
  private static final long RECONNECT_TIMEOUT_MILLIS = 1_000;

  private final PeerTable peers;
  private final PeerNetwork peerNetwork;
  private final ReplicaRegistry replicas;
  private final RawClient client;
  private final EventLoop loop;
  private final EventLog log;
  private final String self;
  private final Map<String, PieceBatcher> batchers = new HashMap<>();
  private final ActiveRoles activeRoles = ActiveRoles.create();
  private final Map<PieceId, PendingPiece> pending = new LinkedHashMap<>();
  private final List<String> handlesToRelease = new ArrayList<>();
  private final RecentReleases recentReleases =
      RecentReleases.create(
          Nanos.ofMillis(
              PeerNetwork.LIVENESS_TIMEOUT_MILLIS + 2 * PeerNetwork.HEARTBEAT_INTERVAL_MILLIS));
  private boolean releaseScheduled;
  private boolean queueCheckScheduled;
  private ServingState state;
  private Runnable onQueueWaitsChanged = () -> {};

  PieceDispatcher(
      PeerTable peers,
      PeerNetwork peerNetwork,
      ReplicaRegistry replicas,
      RawClient client,
      EventLoop loop,
      EventLog log) {
    this.peers = peers;
    this.peerNetwork = peerNetwork;
    this.replicas = replicas;
    this.client = client;
    this.loop = loop;
    this.log = log;
    this.self = peers.self().name();
  }

  /** Sets what is run when the waits of this instance's gatherers may have changed. */
  void onQueueWaitsChanged(Runnable task) {
    onQueueWaitsChanged = task;
  }

  /** Takes a new configuration. */
  void onState(ServingState newState) {
    state = newState;
    batchers
        .values()
        .forEach(batcher -> newState.pieceLimits(batcher.service()).ifPresent(batcher::limits));
  }

  /** Takes a new list of replicas. */
  void onReplicas() {
    for (PieceBatcher batcher : batchers.values()) {
      batcher.replicas(replicas.notLeaving(batcher.service()));
      dispatchQueued(batcher);
    }
  }

  /** Has pieces made; the requester is told what becomes of each. */
  void submit(String service, List<Piece> pieces, Requester requester) {
    String batcher = peers.roleHolder(service, loop.now());
    pieces.forEach(p -> pending.put(p.id(), new PendingPiece(p, service, requester, batcher)));
    sendToBatcher(service, batcher, pieces);
  }

  private void sendToBatcher(String service, String batcher, List<Piece> pieces) {
    if (batcher.equals(self)) {
      enqueue(service, pieces);
    } else if (!peerNetwork.send(batcher, new PeerMessage.Pieces(service, pieces))) {
      pieces.forEach(piece -> pending.get(piece.id()).batcher = self);
      enqueue(service, pieces);
    }
  }

  /** Gives up the pieces of a request. */
  void cancel(String requestId) {
    List<PendingPiece> dropped =
        pending.values().stream()
            .filter(each -> each.piece.id().requestId().equals(requestId))
            .toList();
    dropped.forEach(each -> pending.remove(each.piece.id()));
    dropped.stream()
        .map(each -> each.batcher)
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

  /** Releases results that nobody will read. */
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
    for (PieceCalls.Release release : PieceCalls.release(handlesToRelease)) {
      client
          .fetch("release", release.call())
          .whenComplete((reply, failure) -> loop.post(() -> onReleased(release, failure)));
    }
    handlesToRelease.clear();
  }

  private void onReleased(PieceCalls.Release release, Throwable failure) {
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

  /** Returns how long a new piece waits, for each service whose pieces are gathered here. */
  Map<String, QueueWait> queueWaits() {
    Map<String, QueueWait> queueWaits = new HashMap<>();
    for (PieceBatcher batcher : batchers.values()) {
      queueWaits.put(batcher.service(), batcher.queueWait(loop.now()));
    }
    return queueWaits;
  }

  /** Returns the services whose pieces this instance has gathered lately. */
  Set<String> activeRoles() {
    return activeRoles.roles(loop.now());
  }

  /** Takes a message of another instance. */
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
   * Takes the loss of the connection to an instance: the pieces that it gathered go to another one,
   * and its own pieces are dropped, since it has lost them or hands them to another one as well.
   */
  void onDown(String name) {
    List<PendingPiece> orphaned =
        pending.values().stream().filter(each -> each.batcher.equals(name)).toList();
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

  private void reassign(String from, List<PendingPiece> pieces) {
    Map<String, List<Piece>> byService = new HashMap<>();
    for (PendingPiece each : pieces) {
      byService.computeIfAbsent(each.service, s -> new ArrayList<>()).add(each.piece);
    }
    byService.forEach(
        (service, list) -> reassignTo(batcherInsteadOf(service, from), from, service, list));
  }

  /** Returns the instance that gathers now; this one if that is still the one that gave up. */
  private String batcherInsteadOf(String service, String from) {
    String holder = peers.roleHolder(service, loop.now());
    return holder.equals(from) ? self : holder;
  }

  private void reassignTo(String to, String from, String service, List<Piece> pieces) {
    pieces.forEach(piece -> pending.get(piece.id()).batcher = to);
    log.write("pieces-moved", "service", service, "from", from, "to", to, "pieces", pieces.size());
    sendToBatcher(service, to, pieces);
  }

  private void enqueue(String service, List<Piece> pieces) {
    Optional<PieceLimits> limits = state == null ? Optional.empty() : state.pieceLimits(service);
    if (limits.isEmpty()) {
      reportFailures(pieces, PieceOutcome.FAILED);
      return;
    }
    PieceBatcher batcher = batchers.get(service);
    if (batcher == null) {
      batcher = PieceBatcher.create(service, limits.get(), UrgencyOrder.create());
      batcher.replicas(replicas.notLeaving(service));
      batchers.put(service, batcher);
    }
    OptionalLong before = activeRoles.markUsed(service, loop.now());
    if (before.isEmpty()
        || loop.now() - before.getAsLong() > Nanos.ofMillis(MEMORY_REPORT_LIFETIME_MILLIS)) {
      queryMemory(batcher);
    }
    pieces.forEach(batcher::submit);
    logEnqueued(batcher, pieces);
    dispatchQueued(batcher);
    onQueueWaitsChanged.run();
  }

  /** Writes a line for each request, so that it can be followed from instance to instance. */
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
      client
          .fetch("report", PieceCalls.memoryQuery(replica.endpoint()))
          .whenComplete(
              (reply, failure) -> loop.post(() -> onMemoryReport(batcher, replica, reply)));
    }
  }

  private void onMemoryReport(PieceBatcher batcher, UpstreamReplica replica, RawReply reply) {
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

  /** Hands the waiting pieces back if another instance gathers now, so that one queue has all. */
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

  private void dispatchQueued(PieceBatcher batcher) {
    long now = loop.now();
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
    reportOutcomes(call.pieces(), completion.outcomes());
    if (!completion.toRelease().isEmpty()) {
      release(completion.toRelease());
    }
    dispatchQueued(batcher);
  }

  private void reportFailures(List<Piece> pieces, String reason) {
    reportOutcomes(pieces, pieces.stream().map(p -> PieceOutcome.failed(p.id(), reason)).toList());
  }

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

  /** Returns the number of pieces that wait for a call. */
  int waitingPieces() {
    return batchers.values().stream().mapToInt(PieceBatcher::waiting).sum();
  }

  /** Returns whether nothing waits or is being made, here or elsewhere. */
  boolean isIdle() {
    return pending.isEmpty()
        && batchers.values().stream()
            .allMatch(batcher -> batcher.waiting() + batcher.callsInProgress() == 0);
  }

  /** Told what becomes of the pieces that it has asked for. */
  interface Requester {

    /**
     * A piece has been made or given up.
     *
     * @param outcome what became of it
     */
    void onPieceEnded(PieceOutcome outcome);
  }

  /** A piece that one of this instance's requests waits for. */
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
