package org.arbutusspar.core.stage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Predicate;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.placement.SendPermits;
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.routing.PieceLimits;

/**
 * Queues the pieces of one service from all instances and batches them into calls to the service's
 * replicas. A {@link Piece} is a unit of work of a stage of a request.
 *
 * <p>Load pattern: a call takes a fixed time besides the time per piece, and many instances submit
 * a few pieces each. One queue for all instances fills calls better than one queue per instance. A
 * replica with a free slot gets the pieces that are queued at that moment; no call is delayed to
 * fill it, so calls grow with the load.
 *
 * <p>A piece is in time until its latest start time, {@link Piece#startBy}, and late after it. A
 * late piece is still computed if it can start before its deadline, but its request will exceed its
 * target time.
 *
 * <p>A result uses memory of its replica from the start of its call until it is released or
 * expires. A piece goes only to a replica with enough free memory for its result.
 */
public final class PieceBatcher {

  /** Number of failed calls after which a piece is dropped. */
  public static final int MAX_ATTEMPTS = 3;

  /**
   * A piece whose latest start time is less than this ahead may go to a replica outside its
   * preferred data centre.
   */
  private static final long CROSS_DATA_CENTRE_SLACK_NANOS = Nanos.ofMillis(350);

  /**
   * Late pieces start only while less than this share of a replica's result memory is in use. The
   * rest is reserved for pieces in time.
   */
  private static final double LATE_MEMORY_SHARE = 0.7;

  /**
   * Releases are sent at once, not batched, when results use more than this share of a replica's
   * memory.
   */
  private static final double SCARCE_MEMORY_SHARE = 0.4;

  /**
   * A replica that takes more than this many times as long as the fastest one is called only if the
   * queue exceeds one full call for each of the faster replicas.
   */
  private static final double SLOW_REPLICA_FACTOR = 2;

  /** Weight of the newest call in the mean call size, which covers about the last five calls. */
  private static final double CALL_SIZE_SMOOTHING = 0.3;

  /**
   * A late piece is not dropped as infeasible before this time has passed since its latest start
   * time, because a short burst may be over by then.
   */
  private static final long LATE_GRACE_NANOS = Nanos.ofMillis(500);

  /**
   * A late piece is infeasible if it cannot start before its deadline even at this multiple of the
   * rate at which late pieces can currently start.
   */
  private static final double LATE_RATE_MARGIN = 2;

  /** Minimum rate in estimates, which keeps them finite when no replica is listed. */
  private static final double MIN_PIECES_PER_SECOND = 1;

  /** Maximum of the wait estimate for late pieces, longer than any client's timeout. */
  private static final double MAX_WAIT_MILLIS = 60_000;

  private final String service;
  private final PieceOrder order;
  private final SendPermits permits;
  private final Map<PieceId, Piece> queue = new LinkedHashMap<>();
  private final Map<String, StageWorker> workers = new LinkedHashMap<>();
  private final Map<Long, PieceCall> calls = new HashMap<>();
  private final Map<String, StoredResult> storedResults = new HashMap<>();
  private final Set<PieceId> cancelledInCall = new HashSet<>();
  private final List<Piece> newlySubmitted = new ArrayList<>();
  private PieceLimits limits;
  private long lastCallNumber;

  private final StartRate startRate = new StartRate();

  /** Mean number of pieces per call, over calls after which pieces remained in the queue. */
  private double meanCallSize;

  private PieceBatcher(String service, PieceLimits limits, PieceOrder order, SendPermits permits) {
    this.service = service;
    this.limits = limits;
    this.order = order;
    this.permits = permits;
    this.meanCallSize = limits.maxBatchSize();
  }

  /** Returns a batcher without pieces and replicas that needs no permits for its calls. */
  public static PieceBatcher create(String service, PieceLimits limits, PieceOrder order) {
    return create(service, limits, order, SendPermits.UNLIMITED);
  }

  /**
   * Returns a batcher without pieces and replicas.
   *
   * @param service name of the service, not null
   * @param limits limits of each replica, not null
   * @param order order of queued pieces, not null
   * @param permits permits of which one is taken for each call, not null
   * @return the batcher
   */
  public static PieceBatcher create(
      String service, PieceLimits limits, PieceOrder order, SendPermits permits) {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(order, "order");
    Objects.requireNonNull(permits, "permits");
    return new PieceBatcher(service, limits, order, permits);
  }

  /** Returns the name of the service. */
  public String service() {
    return service;
  }

  /** Replaces the limits of each replica. Calls in progress are not affected. */
  public void limits(PieceLimits newLimits) {
    limits = Objects.requireNonNull(newLimits, "newLimits");
  }

  /**
   * Replaces the replicas that may be called.
   *
   * @param available replicas of the service that are listed and not leaving, not null
   */
  public void replicas(List<UpstreamReplica> available) {
    Set<String> ids = new HashSet<>();
    for (UpstreamReplica replica : available) {
      ids.add(replica.id());
      workers.computeIfAbsent(replica.id(), id -> new StageWorker(replica)).replica(replica);
    }
    workers.forEach((id, worker) -> worker.listed(ids.contains(id)));
    workers.values().removeIf(worker -> !worker.isListed() && worker.isIdle());
  }

  /**
   * Prevents calls to a replica for the time that it has asked for.
   *
   * @param replicaId identifier of the replica, not null
   * @param millis the time in milliseconds
   * @param now current monotonic time, in nanoseconds
   */
  public void backOff(String replicaId, long millis, long now) {
    StageWorker worker = workers.get(replicaId);
    if (worker != null) {
      worker.backOff(millis, now);
    }
  }

  /** Queues a piece. A queued piece with the same identifier is replaced. */
  public void submit(Piece piece) {
    cancelledInCall.remove(piece.id());
    queue.put(piece.id(), piece);
    newlySubmitted.add(piece);
  }

  /**
   * Drops the queued pieces of a request. Results of its pieces in calls in progress are released
   * when the call completes.
   *
   * @param requestId identifier of the request, not null
   * @return number of queued pieces that were dropped
   */
  public int cancel(String requestId) {
    return cancelAll(piece -> piece.id().requestId().equals(requestId));
  }

  /** Removes all queued pieces and returns them in the order of their arrival. */
  public List<Piece> takeWaiting() {
    List<Piece> all = List.copyOf(queue.values());
    queue.clear();
    return all;
  }

  /**
   * Drops the queued pieces of the requests of an instance. Results of its pieces in calls in
   * progress are released when the call completes.
   *
   * @param origin name of the instance that serves the requests, not null
   * @return number of queued pieces that were dropped
   */
  public int cancelOrigin(String origin) {
    return cancelAll(piece -> piece.origin().equals(origin));
  }

  private int cancelAll(Predicate<Piece> shouldCancel) {
    int before = queue.size();
    queue.values().removeIf(shouldCancel);
    for (PieceCall call : calls.values()) {
      call.pieces().stream().filter(shouldCancel).forEach(piece -> cancelledInCall.add(piece.id()));
    }
    return before - queue.size();
  }

  /**
   * Returns the stored results of the requests of an instance.
   *
   * @param origin name of the instance that serves the requests, not null
   * @return handles of the results that have neither been released nor expired
   */
  public List<String> storedFor(String origin) {
    return storedResults.entrySet().stream()
        .filter(entry -> entry.getValue().origin().equals(origin))
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Removes the queued pieces past their deadline and the infeasible late pieces: those that cannot
   * start before their deadline, judged by the start rate of late pieces over the last second.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the removed pieces
   */
  public List<Piece> expire(long now) {
    List<Piece> expired =
        new ArrayList<>(
            queue.values().stream().filter(piece -> now - piece.deadline() >= 0).toList());
    expired.forEach(piece -> queue.remove(piece.id()));
    startRate.latePerSecond(now).ifPresent(rate -> expired.addAll(removeInfeasible(rate, now)));
    return expired;
  }

  private List<Piece> removeInfeasible(double startsPerSecond, long now) {
    List<Piece> latePieces =
        queue.values().stream()
            .filter(piece -> now - piece.startBy() > LATE_GRACE_NANOS)
            .sorted(order.at(now))
            .toList();
    List<Piece> infeasible = new ArrayList<>();
    double rate = Math.max(MIN_PIECES_PER_SECOND, startsPerSecond * LATE_RATE_MARGIN);
    int feasibleAhead = 0;
    for (Piece piece : latePieces) {
      if (feasibleAhead / rate * 1_000 > Nanos.toMillis(piece.deadline() - now)) {
        infeasible.add(piece);
      } else {
        feasibleAhead++;
      }
    }
    infeasible.forEach(piece -> queue.remove(piece.id()));
    return infeasible;
  }

  /**
   * Batches queued pieces into calls to replicas with a free slot. The returned calls count as in
   * progress until {@link #complete} or {@link #fail}.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the calls to send now
   */
  public List<PieceCall> nextCalls(long now) {
    startRate.arrivedInTime(
        (int) newlySubmitted.stream().filter(p -> isInTime(p, now)).count(), now);
    newlySubmitted.clear();
    List<PieceCall> next = new ArrayList<>();
    storedResults.values().removeIf(result -> dropIfExpired(result, now));
    while (!queue.isEmpty()) {
      Optional<PieceCall> call = nextCall(now);
      if (call.isEmpty()) {
        break;
      }
      next.add(call.get());
      List<Piece> pieces = call.get().pieces();
      int late = (int) pieces.stream().filter(piece -> !isInTime(piece, now)).count();
      startRate.started(pieces.size(), late, now);
    }
    startRate.backlog(!queue.isEmpty(), now);
    return next;
  }

  private Optional<PieceCall> nextCall(long now) {
    List<StageWorker> freeWorkers =
        workers.values().stream()
            .filter(
                worker ->
                    worker.hasFreeSlot(limits.slots(), now)
                        && permits.isAvailable(worker.replica(), now)
                        && !shouldWaitForFaster(worker, now))
            .sorted(Comparator.comparingDouble((StageWorker worker) -> worker.timeRatio()))
            .toList();
    List<List<Piece>> groups = freeWorkers.isEmpty() ? List.of() : groups(now);
    for (StageWorker worker : freeWorkers) {
      List<Piece> pieces = selectFor(worker, groups, now);
      if (!pieces.isEmpty()) {
        return Optional.of(startCall(worker, pieces, now));
      }
    }
    return Optional.empty();
  }

  /** Returns whether a replica is slow and the faster ones can take the queue in one call each. */
  private boolean shouldWaitForFaster(StageWorker worker, long now) {
    List<StageWorker> callableWorkers =
        workers.values().stream().filter(w -> isCallable(w, now)).toList();
    double minTimeRatio =
        callableWorkers.stream().mapToDouble(StageWorker::timeRatio).min().orElse(1);
    long fasterReplicas =
        callableWorkers.stream()
            .filter(w -> w.timeRatio() <= SLOW_REPLICA_FACTOR * minTimeRatio)
            .count();
    return worker.timeRatio() > SLOW_REPLICA_FACTOR * minTimeRatio
        && queue.size() <= fasterReplicas * limits.maxBatchSize();
  }

  /** Returns the queued pieces in order, grouped by request and stage. */
  private List<List<Piece>> groups(long now) {
    Map<String, List<Piece>> groups = new LinkedHashMap<>();
    queue.values().stream()
        .sorted(order.at(now))
        .forEach(
            piece ->
                groups
                    .computeIfAbsent(
                        piece.id().requestId() + "/" + piece.id().stage(), k -> new ArrayList<>())
                    .add(piece));
    return List.copyOf(groups.values());
  }

  /**
   * Selects pieces for a call to a replica. Selects whole groups, since a request waits for the
   * last piece of its stage; groups that prefer the replica's data centre go first. Falls back to a
   * part of the first group if no whole group can be selected.
   */
  private List<Piece> selectFor(StageWorker worker, List<List<Piece>> groups, long now) {
    List<Piece> selected = new ArrayList<>();
    long freeMemoryBytes = limits.resultMemoryBytes() - worker.estimatedUsedBytes(now);
    long reservedBytes = (long) (limits.resultMemoryBytes() * (1 - LATE_MEMORY_SHARE));
    for (boolean preferred : new boolean[] {true, false}) {
      for (List<Piece> group : groups) {
        Piece first = group.get(0);
        boolean eligible =
            isInPreferredDataCentre(first, worker) == preferred
                && (preferred || mayCrossDataCentres(first, now))
                && (isInTime(first, now) || freeMemoryBytes > reservedBytes);
        long bytes = bytes(group);
        if (eligible
            && selected.size() + group.size() <= limits.maxBatchSize()
            && bytes <= freeMemoryBytes) {
          selected.addAll(group);
          freeMemoryBytes -= bytes;
        }
      }
    }
    return selected.isEmpty() ? selectPartOfFirstGroup(groups, freeMemoryBytes) : selected;
  }

  /**
   * Selects a part of the first group if the whole is too large for any call or replica. Ignores
   * the preferred data centre and the memory that is reserved for pieces in time.
   */
  private List<Piece> selectPartOfFirstGroup(List<List<Piece>> groups, long freeMemoryBytes) {
    if (groups.isEmpty()) {
      return List.of();
    }
    List<Piece> group = groups.get(0);
    long bytes = bytes(group);
    if (group.size() <= limits.maxBatchSize() && bytes <= limits.resultMemoryBytes()) {
      return List.of();
    }
    List<Piece> selected = new ArrayList<>();
    long remainingBytes = freeMemoryBytes;
    for (Piece piece : group) {
      if (selected.size() < limits.maxBatchSize() && piece.resultBytes() <= remainingBytes) {
        selected.add(piece);
        remainingBytes -= piece.resultBytes();
      }
    }
    return selected;
  }

  private static long bytes(List<Piece> pieces) {
    return pieces.stream().mapToLong(Piece::resultBytes).sum();
  }

  private static boolean isInTime(Piece piece, long now) {
    return now - piece.startBy() <= 0;
  }

  private static boolean isInPreferredDataCentre(Piece piece, StageWorker worker) {
    return piece.preferredDataCentre().isEmpty()
        || piece.preferredDataCentre().get().equals(worker.replica().dataCentre());
  }

  /**
   * Returns whether a piece may go to a replica outside its preferred data centre: if it must start
   * soon, the queue fills a call, or no replica is listed in the preferred data centre.
   */
  private boolean mayCrossDataCentres(Piece piece, long now) {
    boolean urgent = now + CROSS_DATA_CENTRE_SLACK_NANOS - piece.startBy() > 0;
    boolean fillsCall = queue.size() >= limits.maxBatchSize();
    return urgent
        || fillsCall
        || workers.values().stream()
            .noneMatch(w -> isCallable(w, now) && isInPreferredDataCentre(piece, w));
  }

  private boolean isCallable(StageWorker worker, long now) {
    return worker.isCallable(now) && permits.isAvailable(worker.replica(), now);
  }

  private PieceCall startCall(StageWorker worker, List<Piece> pieces, long now) {
    long expectedNanos = Nanos.ofMillis((long) (limits.millis(pieces.size()) * worker.timeRatio()));
    final PieceCall call =
        new PieceCall(++lastCallNumber, worker.replica(), pieces, now, expectedNanos);
    pieces.forEach(piece -> queue.remove(piece.id()));
    if (!queue.isEmpty()) {
      meanCallSize += CALL_SIZE_SMOOTHING * (pieces.size() - meanCallSize);
    }
    permits.take(worker.replica(), now);
    worker.callStarted(bytes(pieces));
    calls.put(call.number(), call);
    return call;
  }

  /**
   * Ends a call whose response has arrived. A response with a wrong number of pieces counts as a
   * failed call. A call that has already ended is ignored.
   *
   * @param number number of the call
   * @param responses handle or failure reason of each piece, in the order of the call, not null
   * @param self name of this instance, not null
   * @param now current monotonic time, in nanoseconds
   * @return outcomes of the pieces, except those that are queued again, and results to release
   */
  public Completion complete(long number, List<PieceResponse> responses, String self, long now) {
    PieceCall call = calls.remove(number);
    if (call == null) {
      return Completion.NOTHING;
    }
    if (responses.size() != call.pieces().size()) {
      calls.put(number, call);
      return fail(number, false, now);
    }
    StageWorker worker = workers.get(call.replica().id());
    end(call, worker);
    boolean allComputed = responses.stream().allMatch(response -> response.handle().isPresent());
    if (allComputed) {
      worker.updateTimeRatio((now - call.startedAt()) / Math.max(1.0, call.expectedNanos()));
    }
    Completion completion = new Completion(new ArrayList<>(), new ArrayList<>());
    long outOfMemoryBytes = 0;
    for (int i = 0; i < responses.size(); i++) {
      if (responses.get(i).reason().equals(PieceResponse.NO_MEMORY)) {
        outOfMemoryBytes += call.pieces().get(i).resultBytes();
      }
      applyResponse(call.pieces().get(i), responses.get(i), worker, self, now, completion);
    }
    worker.onOutOfMemory(outOfMemoryBytes, now);
    return completion;
  }

  private void applyResponse(
      Piece piece,
      PieceResponse response,
      StageWorker worker,
      String self,
      long now,
      Completion completion) {
    if (response.handle().isPresent()) {
      StageResult result = new StageResult(response.handle().get(), self, piece.resultBytes());
      if (cancelledInCall.remove(piece.id())) {
        completion.toRelease().add(result);
        return;
      }
      worker.store(piece.resultBytes());
      long expiresAt = now + Nanos.ofMillis(limits.resultTtlMillis());
      storedResults.put(
          result.handle(),
          new StoredResult(worker, piece.origin(), piece.resultBytes(), expiresAt));
      completion.outcomes().add(PieceOutcome.computed(piece.id(), result));
      return;
    }
    if (cancelledInCall.remove(piece.id())) {
      return;
    }
    boolean outOfMemory = response.reason().equals(PieceResponse.NO_MEMORY);
    Piece updated = outOfMemory ? piece : piece.withFailedAttempt();
    boolean retry = response.retryable() && updated.attempts() < MAX_ATTEMPTS;
    if (retry && now - piece.deadline() < 0) {
      queue.put(piece.id(), updated);
    } else {
      completion.outcomes().add(PieceOutcome.failed(piece.id(), response.reason()));
    }
  }

  /**
   * Ends a failed call. Its pieces are queued again, except those that have reached the maximum
   * number of attempts or their deadline. A call that has already ended is ignored.
   *
   * @param number number of the call
   * @param atCapacity whether the replica rejected the call without running it because it had no
   *     free slot; the call then does not count as an attempt and uses no result memory
   * @param now current monotonic time, in nanoseconds
   * @return outcomes of the pieces that are dropped
   */
  public Completion fail(long number, boolean atCapacity, long now) {
    PieceCall call = calls.remove(number);
    if (call == null) {
      return Completion.NOTHING;
    }
    StageWorker worker = workers.get(call.replica().id());
    end(call, worker);
    worker.onFailure(now);
    if (!atCapacity) {
      // The call may have run, so its results may use memory until they expire.
      long bytes = bytes(call.pieces());
      worker.reserve(bytes, limits.resultTtlMillis(), now);
    }
    Completion completion = new Completion(new ArrayList<>(), new ArrayList<>());
    for (Piece piece : call.pieces()) {
      boolean cancelled = cancelledInCall.remove(piece.id());
      Piece updated = atCapacity ? piece : piece.withFailedAttempt();
      if (!cancelled && updated.attempts() < MAX_ATTEMPTS && now - piece.deadline() < 0) {
        queue.put(piece.id(), updated);
      } else if (!cancelled) {
        completion.outcomes().add(PieceOutcome.failed(piece.id(), PieceOutcome.FAILED));
      }
    }
    return completion;
  }

  private void end(PieceCall call, StageWorker worker) {
    worker.callEnded(bytes(call.pieces()));
  }

  /**
   * Frees the accounted memory of a result that its replica has released.
   *
   * @param handle handle of the result, not null
   * @return whether this batcher accounted for the result
   */
  public boolean onReleased(String handle) {
    StoredResult result = storedResults.remove(handle);
    if (result != null) {
      result.worker().release(result.bytes());
    }
    return result != null;
  }

  /** Returns whether a replica is so short of memory that results should be released at once. */
  public boolean isMemoryScarce() {
    return workers.values().stream()
        .anyMatch(
            worker -> worker.accountedBytes() > SCARCE_MEMORY_SHARE * limits.resultMemoryBytes());
  }

  private static boolean dropIfExpired(StoredResult result, long now) {
    boolean expired = now - result.expiresAt() >= 0;
    if (expired) {
      result.worker().release(result.bytes());
    }
    return expired;
  }

  /**
   * Records a replica's report of its free memory. Used memory that this batcher does not account
   * for is attributed to results of other batchers.
   *
   * @param replicaId identifier of the replica, not null
   * @param freeBytes free memory for results in bytes
   * @param now current monotonic time, in nanoseconds
   */
  public void onFreeMemory(String replicaId, long freeBytes, long now) {
    StageWorker worker = workers.get(replicaId);
    if (worker != null) {
      worker.onMemoryReport(limits.resultMemoryBytes() - freeBytes, now);
    }
  }

  /** Returns the number of queued pieces. */
  public int waiting() {
    return queue.size();
  }

  /** Returns the number of calls in progress. */
  public int callsInProgress() {
    return calls.size();
  }

  /**
   * Estimates how long a piece that is submitted now waits for the start of its call.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the estimated waits of a piece in time and of a late piece
   */
  public QueueWait queueWait(long now) {
    boolean anyFree = workers.values().stream().anyMatch(w -> w.hasFreeSlot(limits.slots(), now));
    if (queue.isEmpty() && anyFree) {
      return QueueWait.NONE;
    }
    double perSecond =
        workers.values().stream()
            .filter(worker -> worker.isCallable(now))
            .mapToDouble(
                worker ->
                    limits.slots() * meanCallSize / callSeconds(meanCallSize) / worker.timeRatio())
            .sum();
    double effectivePerSecond = Math.min(perSecond, startRate.perSecond(now).orElse(perSecond));
    double millisPerPiece = 1_000.0 / Math.max(MIN_PIECES_PER_SECOND, effectivePerSecond);
    double millisUntilFree = limits.millis(limits.maxBatchSize() / 2) / Math.max(1, workers.size());
    long inTimePieces = queue.values().stream().filter(p -> isInTime(p, now)).count();
    double latePiecesMillis = (queue.size() - inTimePieces) * latePieceMillis(millisPerPiece, now);
    return new QueueWait(
        (int) (millisUntilFree + inTimePieces * millisPerPiece),
        (int)
            Math.min(
                MAX_WAIT_MILLIS,
                millisUntilFree + inTimePieces * millisPerPiece + latePiecesMillis));
  }

  /**
   * Returns the expected time between starts of two late pieces in milliseconds. Late pieces get
   * only the capacity that pieces in time leave.
   */
  private double latePieceMillis(double millisPerPiece, long now) {
    OptionalDouble perSecond = startRate.latePerSecond(now);
    return perSecond.isPresent()
        ? Math.max(millisPerPiece, 1_000 / Math.max(MIN_PIECES_PER_SECOND, perSecond.getAsDouble()))
        : millisPerPiece;
  }

  private double callSeconds(double pieces) {
    return (limits.callMillis() + pieces * limits.pieceMillis()) / 1_000;
  }

  /**
   * Effects of the end of a call.
   *
   * @param outcomes outcomes of pieces to report to the origins of their requests
   * @param toRelease results of cancelled pieces, to be released
   */
  public record Completion(List<PieceOutcome> outcomes, List<StageResult> toRelease) {
    /** Completion without outcomes and without results to release. */
    public static final Completion NOTHING = new Completion(List.of(), List.of());
  }

  /**
   * A result that is stored at a replica. The expiry time is on the monotonic clock in nanoseconds.
   */
  private record StoredResult(StageWorker worker, String origin, long bytes, long expiresAt) {}
}
