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
  private static final double CALL_PATIENCE = 3;

  private static final long CALL_SLACK_MILLIS = 400;

  /** Longest time for which releases wait for others, so that one call releases many. */
  private static final long RELEASE_MILLIS = 60;

  private static final long EXPIRY_MILLIS = 100;

  /** A gatherer that had no pieces for this long asks the replicas how much room they have. */
  private static final long STALE_MILLIS = 2_000;

  /** An instance whose connection broke and that has not come back within this time is gone. */
  private static final long GONE_MILLIS = 1_000;

  private final PeerTable peers;
  private final PeerNetwork net;
  private final ReplicaRegistry replicas;
  private final RawClient client;
  private final EventLoop loop;
  private final EventLog log;
  private final String self;
  private final Map<String, PieceBatcher> batchers = new HashMap<>();
  private final ActiveRoles roles = ActiveRoles.create();
  private final Map<PieceId, Pending> pending = new LinkedHashMap<>();
  private final List<String> toRelease = new ArrayList<>();
  private final RecentReleases recentReleases =
      RecentReleases.create(
          Nanos.ofMillis(
              PeerNetwork.LIVENESS_TIMEOUT_MILLIS + 2 * PeerNetwork.HEARTBEAT_INTERVAL_MILLIS));
  private boolean releasing;
  private boolean expiring;
  private ServingState state;
  private Runnable onWaitsChanged = () -> {};

  PieceDispatcher(
      PeerTable peers,
      PeerNetwork net,
      ReplicaRegistry replicas,
      RawClient client,
      EventLoop loop,
      EventLog log) {
    this.peers = peers;
    this.net = net;
    this.replicas = replicas;
    this.client = client;
    this.loop = loop;
    this.log = log;
    this.self = peers.self().name();
  }

  /** Sets what is run when the waits of this instance's gatherers may have changed. */
  void onWaitsChanged(Runnable task) {
    onWaitsChanged = task;
  }

  /** Takes a new configuration. */
  void onState(ServingState fresh) {
    state = fresh;
    batchers.values().forEach(g -> fresh.pieceLimits(g.service()).ifPresent(g::limits));
  }

  /** Takes a new list of replicas. */
  void onReplicas() {
    for (PieceBatcher batcher : batchers.values()) {
      batcher.replicas(replicas.notLeaving(batcher.service()));
      pump(batcher);
    }
  }

  /** Has pieces made; the requester is told what becomes of each. */
  void submit(String service, List<Piece> pieces, Requester requester) {
    String batcher = peers.roleHolder(service, loop.now());
    pieces.forEach(p -> pending.put(p.id(), new Pending(p, service, requester, batcher)));
    hand(service, batcher, pieces);
  }

  private void hand(String service, String batcher, List<Piece> pieces) {
    if (batcher.equals(self)) {
      batch(service, pieces);
    } else if (!net.send(batcher, new PeerMessage.Pieces(service, pieces))) {
      pieces.forEach(piece -> pending.get(piece.id()).batcher = self);
      batch(service, pieces);
    }
  }

  /** Gives up the pieces of a request. */
  void cancel(String requestId) {
    List<Pending> dropped =
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
                cancelBatched(requestId);
              } else {
                net.send(name, new PeerMessage.Cancel(requestId));
              }
            });
  }

  private void cancelBatched(String requestId) {
    batchers.values().forEach(batcher -> batcher.cancel(requestId));
  }

  /** Releases results that nobody will read. */
  void release(Collection<StageResult> results) {
    Map<String, List<String>> byBatcher = new HashMap<>();
    for (StageResult result : results) {
      byBatcher.computeIfAbsent(result.batcher(), g -> new ArrayList<>()).add(result.handle());
    }
    byBatcher.forEach(
        (name, handles) -> {
          if (name.equals(self) || !net.send(name, new PeerMessage.Release(handles))) {
            releaseHere(handles);
          } else {
            recentReleases.record(name, handles, loop.now());
          }
        });
  }

  private void releaseHere(List<String> handles) {
    toRelease.addAll(handles);
    if (batchers.values().stream().anyMatch(PieceBatcher::isMemoryScarce)) {
      sendReleases();
    } else if (!releasing) {
      releasing = true;
      loop.after(RELEASE_MILLIS, this::sendReleases);
    }
  }

  private void sendReleases() {
    releasing = false;
    for (PieceCalls.ReleaseCall release : PieceCalls.releaseCalls(toRelease)) {
      client
          .fetch("release", release.call())
          .whenComplete((reply, failure) -> loop.post(() -> onReleased(release, failure)));
    }
    toRelease.clear();
  }

  private void onReleased(PieceCalls.ReleaseCall release, Throwable failure) {
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
      pump(batcher);
    }
  }

  /** Returns how long a new piece waits, for each service whose pieces are gathered here. */
  Map<String, QueueWait> waits() {
    Map<String, QueueWait> waits = new HashMap<>();
    for (PieceBatcher batcher : batchers.values()) {
      waits.put(batcher.service(), batcher.queueWait(loop.now()));
    }
    return waits;
  }

  /** Returns the services whose pieces this instance has gathered lately. */
  Set<String> roles() {
    return roles.roles(loop.now());
  }

  /** Takes a message of another instance. */
  void onMessage(String name, PeerMessage message) {
    if (message instanceof PeerMessage.Pieces pieces) {
      batch(pieces.service(), pieces.pieces());
    } else if (message instanceof PeerMessage.Outcomes outcomes) {
      outcomes.outcomes().forEach(outcome -> onOutcomeFrom(name, outcome));
    } else if (message instanceof PeerMessage.Cancel cancel) {
      cancelBatched(cancel.requestId());
    } else if (message instanceof PeerMessage.Release release) {
      releaseHere(release.handles());
    }
  }

  /**
   * Takes the loss of the connection to an instance: the pieces that it gathered go to another one,
   * and its own pieces are dropped, since it has lost them or hands them to another one as well.
   */
  void onDown(String name) {
    List<Pending> orphans =
        pending.values().stream().filter(each -> each.batcher.equals(name)).toList();
    move(name, orphans);
    List<String> unreleased = recentReleases.takeUnconfirmed(name, loop.now());
    if (!unreleased.isEmpty()) {
      log.write("releases-repeated", "fellow", name, "results", unreleased.size());
      releaseHere(unreleased);
    }
    for (PieceBatcher batcher : batchers.values()) {
      batcher.cancelOrigin(name);
      pump(batcher);
    }
    Optional<Long> incarnation = peers.incarnation(name);
    loop.after(GONE_MILLIS, () -> releaseIfGone(name, incarnation));
  }

  private void releaseIfGone(String name, Optional<Long> incarnation) {
    if (peers.isLive(name, loop.now()) && peers.incarnation(name).equals(incarnation)) {
      return;
    }
    List<String> handles =
        batchers.values().stream().flatMap(g -> g.storedFor(name).stream()).toList();
    if (!handles.isEmpty()) {
      log.write("results-orphaned", "fellow", name, "results", handles.size());
      releaseHere(handles);
    }
  }

  private void move(String from, List<Pending> pieces) {
    Map<String, List<Piece>> byService = new HashMap<>();
    for (Pending each : pieces) {
      byService.computeIfAbsent(each.service, s -> new ArrayList<>()).add(each.piece);
    }
    byService.forEach((service, list) -> moveTo(nextHolder(service, from), from, service, list));
  }

  /** Returns the instance that gathers now; this one if that is still the one that gave up. */
  private String nextHolder(String service, String from) {
    String holder = peers.roleHolder(service, loop.now());
    return holder.equals(from) ? self : holder;
  }

  private void moveTo(String to, String from, String service, List<Piece> pieces) {
    pieces.forEach(piece -> pending.get(piece.id()).batcher = to);
    log.write("pieces-moved", "service", service, "from", from, "to", to, "pieces", pieces.size());
    hand(service, to, pieces);
  }

  private void batch(String service, List<Piece> pieces) {
    Optional<PieceLimits> limits = state == null ? Optional.empty() : state.pieceLimits(service);
    if (limits.isEmpty()) {
      tellOriginsOfNone(pieces, PieceOutcome.FAILED);
      return;
    }
    PieceBatcher batcher = batchers.get(service);
    if (batcher == null) {
      batcher = PieceBatcher.create(service, limits.get(), UrgencyOrder.create());
      batcher.replicas(replicas.notLeaving(service));
      batchers.put(service, batcher);
    }
    OptionalLong before = roles.markUsed(service, loop.now());
    if (before.isEmpty() || loop.now() - before.getAsLong() > Nanos.ofMillis(STALE_MILLIS)) {
      queryMemory(batcher);
    }
    pieces.forEach(batcher::submit);
    logTaken(batcher, pieces);
    pump(batcher);
    onWaitsChanged.run();
  }

  /** Writes a line for each request, so that it can be followed from instance to instance. */
  private void logTaken(PieceBatcher batcher, List<Piece> pieces) {
    Map<PieceId, Integer> counts = new LinkedHashMap<>();
    pieces.forEach(
        p -> counts.merge(new PieceId(p.id().requestId(), p.id().stage(), 0), 1, Integer::sum));
    counts.forEach(
        (group, count) ->
            log.write(
                "pieces-taken",
                "id",
                group.requestId(),
                "stage",
                group.stage(),
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
          .whenComplete((reply, failure) -> loop.post(() -> onMemory(batcher, replica, reply)));
    }
  }

  private void onMemory(PieceBatcher batcher, UpstreamReplica replica, RawReply reply) {
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
  private void handOver(PieceBatcher batcher) {
    String holder = peers.roleHolder(batcher.service(), loop.now());
    if (holder.equals(self) || batcher.waiting() == 0) {
      return;
    }
    List<Piece> waiting = batcher.takeWaiting();
    log.write(
        "queue-handed-over", "service", batcher.service(), "to", holder, "pieces", waiting.size());
    tellOriginsOfNone(waiting, PieceOutcome.REASSIGNED);
  }

  private void pump(PieceBatcher batcher) {
    long now = loop.now();
    List<Piece> expired = batcher.expire(now);
    for (Piece late : expired) {
      log.write(
          "piece-given-up",
          "id",
          late.id().requestId(),
          "stage",
          late.id().stage(),
          "waiting",
          batcher.waiting(),
          "left_ms",
          Math.round(Nanos.toMillis(late.deadline() - now)));
    }
    tellOriginsOfNone(expired, PieceOutcome.LATE);
    batcher.nextCalls(now).forEach(call -> send(batcher, call));
    if (batcher.waiting() > 0) {
      scheduleExpiry();
    }
  }

  private void scheduleExpiry() {
    if (!expiring) {
      expiring = true;
      loop.after(
          EXPIRY_MILLIS,
          () -> {
            expiring = false;
            batchers.values().forEach(this::handOver);
            batchers.values().forEach(this::pump);
          });
    }
  }

  private void send(PieceBatcher batcher, PieceCall call) {
    long callTimeoutMillis =
        (long) (Nanos.toMillis(call.expectedNanos()) * CALL_PATIENCE) + CALL_SLACK_MILLIS;
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
        .whenComplete((reply, failure) -> loop.post(() -> onReply(batcher, call, reply, failure)));
  }

  private void onReply(PieceBatcher batcher, PieceCall call, RawReply reply, Throwable failure) {
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
    tellOrigins(call.pieces(), completion.outcomes());
    if (!completion.toRelease().isEmpty()) {
      release(completion.toRelease());
    }
    pump(batcher);
  }

  private void tellOriginsOfNone(List<Piece> pieces, String reason) {
    tellOrigins(pieces, pieces.stream().map(p -> PieceOutcome.failed(p.id(), reason)).toList());
  }

  private void tellOrigins(List<Piece> pieces, List<PieceOutcome> outcomes) {
    Map<PieceId, String> origins = new HashMap<>();
    pieces.forEach(piece -> origins.put(piece.id(), piece.origin()));
    Map<String, List<PieceOutcome>> byOrigin = new LinkedHashMap<>();
    for (PieceOutcome outcome : outcomes) {
      byOrigin.computeIfAbsent(origins.get(outcome.id()), origin -> new ArrayList<>()).add(outcome);
    }
    byOrigin.forEach(this::tell);
  }

  private void tell(String origin, List<PieceOutcome> outcomes) {
    if (origin.equals(self)) {
      outcomes.forEach(outcome -> onOutcomeFrom(self, outcome));
    } else if (!net.send(origin, new PeerMessage.Outcomes(outcomes))) {
      outcomes.forEach(outcome -> outcome.result().ifPresent(r -> release(List.of(r))));
    }
  }

  private void onOutcomeFrom(String batcher, PieceOutcome outcome) {
    Pending waiting = pending.get(outcome.id());
    if (waiting != null && outcome.reason().equals(PieceOutcome.REASSIGNED)) {
      move(batcher, List.of(waiting));
    } else {
      onOutcome(outcome);
    }
  }

  private void onOutcome(PieceOutcome outcome) {
    Pending each = pending.remove(outcome.id());
    if (each == null) {
      outcome.result().ifPresent(result -> release(List.of(result)));
      return;
    }
    each.requester.onPiece(outcome);
  }

  /** Returns the number of pieces that wait for a call. */
  int waiting() {
    return batchers.values().stream().mapToInt(PieceBatcher::waiting).sum();
  }

  /** Returns whether nothing waits or is being made, here or elsewhere. */
  boolean isIdle() {
    return pending.isEmpty()
        && batchers.values().stream().allMatch(g -> g.waiting() + g.callsInProgress() == 0);
  }

  /** Told what becomes of the pieces that it has asked for. */
  interface Requester {

    /**
     * A piece has been made or given up.
     *
     * @param outcome what became of it
     */
    void onPiece(PieceOutcome outcome);
  }

  /** A piece that one of this instance's requests waits for. */
  private static final class Pending {
    private final Piece piece;
    private final String service;
    private final Requester requester;
    private String batcher;

    private Pending(Piece piece, String service, Requester requester, String batcher) {
      this.piece = piece;
      this.service = service;
      this.requester = requester;
      this.batcher = batcher;
    }
  }
}
