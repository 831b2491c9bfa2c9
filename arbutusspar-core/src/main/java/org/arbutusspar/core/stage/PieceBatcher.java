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
import org.arbutusspar.core.placement.UpstreamReplica;
import org.arbutusspar.core.routing.PieceLimits;

/**
 * Gathers the pieces of one service from all instances and puts them into calls to its replicas.
 *
 * <p>Load pattern: a call costs a fixed time before its first piece, and many instances each have a
 * few pieces. One queue for all of them fills the calls; a replica that becomes free takes what has
 * gathered meanwhile, so calls grow with the load and nothing waits for a fuller call.
 *
 * <p>Results take memory at their replica from the start of their call until they are released or
 * expire; a call is made only where its results fit.
 */
public final class PieceBatcher {

  /** A piece is given up after this many failed calls. */
  public static final int MAX_ATTEMPTS = 3;

  /** A piece with less time to spare does not wait for a replica of its data centre. */
  private static final long CROSSING_SLACK_NANOS = Nanos.ofMillis(350);

  /** Share of the room that results for requests which are late already may begin to fill. */
  private static final double LATE_ROOM_SHARE = 0.7;

  /** Releases do not wait for others once this share of a replica's room is taken. */
  private static final double SCARCE_ROOM_SHARE = 0.4;

  /** A replica that takes this many times as long as the best is used only in a crowd. */
  private static final double SLOW_BOUND = 2;

  /** Weight of the newest call in the mean size: about the last five calls count. */
  private static final double SIZE_WEIGHT = 0.3;

  /** Late pieces are kept for this long at least: a lump of work may be over by then. */
  private static final long LATE_PATIENCE_NANOS = Nanos.ofMillis(500);

  /** Late pieces are given up only if twice the rate of the last second would not do. */
  private static final double LATE_RATE_DOUBT = 2;

  /** Keeps forecasts finite where no replica is listed. */
  private static final double MIN_PIECES_PER_SECOND = 1;

  /** Bound of a forecast; no client waits for so long. */
  private static final double MAX_WAIT_MILLIS = 60_000;

  private final String service;
  private final PieceOrder order;
  private final Map<PieceId, Piece> queue = new LinkedHashMap<>();
  private final Map<String, StageWorker> workers = new LinkedHashMap<>();
  private final Map<Long, PieceCall> calls = new HashMap<>();
  private final Map<String, Kept> kept = new HashMap<>();
  private final Set<PieceId> cancelledInCall = new HashSet<>();
  private final List<Piece> arrived = new ArrayList<>();
  private PieceLimits limits;
  private long lastNumber;

  private final StartRate startRate = new StartRate();

  /** Mean number of pieces of the calls that left pieces waiting. */
  private double callSize;

  private PieceBatcher(String service, PieceLimits limits, PieceOrder order) {
    this.service = service;
    this.limits = limits;
    this.order = order;
    this.callSize = limits.batch();
  }

  /**
   * Returns a gatherer without pieces and replicas.
   *
   * @param service name of the service, not null
   * @param limits what a replica can do, not null
   * @param order order of waiting pieces, not null
   * @return the gatherer
   */
  public static PieceBatcher create(String service, PieceLimits limits, PieceOrder order) {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(order, "order");
    return new PieceBatcher(service, limits, order);
  }

  /** Returns the name of the service. */
  public String service() {
    return service;
  }

  /** Replaces the limits of a replica; calls that have been made are not affected. */
  public void limits(PieceLimits fresh) {
    limits = Objects.requireNonNull(fresh, "fresh");
  }

  /**
   * Replaces the replicas that may be called.
   *
   * @param usable replicas of the service that are listed and not leaving, not null
   */
  public void replicas(List<UpstreamReplica> usable) {
    Set<String> ids = new HashSet<>();
    for (UpstreamReplica replica : usable) {
      ids.add(replica.id());
      workers.computeIfAbsent(replica.id(), id -> new StageWorker(replica)).replica(replica);
    }
    workers.forEach((id, worker) -> worker.listed(ids.contains(id)));
    workers.values().removeIf(worker -> !worker.isListed() && worker.isIdle());
  }

  /** Adds a piece. A piece that waits already is replaced. */
  public void submit(Piece piece) {
    cancelledInCall.remove(piece.id());
    queue.put(piece.id(), piece);
    arrived.add(piece);
  }

  /**
   * Drops the waiting pieces of a request; results of those being made are released when they come.
   *
   * @param requestId identifier of the request, not null
   * @return number of waiting pieces that were dropped
   */
  public int cancel(String requestId) {
    return cancelAll(piece -> piece.id().requestId().equals(requestId));
  }

  /** Removes all waiting pieces and returns them, in the order in which they came. */
  public List<Piece> takeWaiting() {
    List<Piece> all = List.copyOf(queue.values());
    queue.clear();
    return all;
  }

  /**
   * Drops the waiting pieces of an instance's requests; results of those being made are released
   * when they come.
   *
   * @param origin the instance, not null
   * @return number of waiting pieces that were dropped
   */
  public int cancelOrigin(String origin) {
    return cancelAll(piece -> piece.origin().equals(origin));
  }

  private int cancelAll(Predicate<Piece> unwanted) {
    int before = queue.size();
    queue.values().removeIf(unwanted);
    for (PieceCall call : calls.values()) {
      call.pieces().stream().filter(unwanted).forEach(piece -> cancelledInCall.add(piece.id()));
    }
    return before - queue.size();
  }

  /** Returns the handles of the results made for an instance's requests that are still kept. */
  public List<String> storedFor(String origin) {
    return kept.entrySet().stream()
        .filter(entry -> entry.getValue().origin().equals(origin))
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Removes the waiting pieces whose results would come too late, and those of late requests that
   * will not have been started by then: each second, so many of them are started as in the last.
   *
   * @param now current time
   * @return the removed pieces
   */
  public List<Piece> expire(long now) {
    List<Piece> late =
        new ArrayList<>(
            queue.values().stream().filter(piece -> now - piece.deadline() >= 0).toList());
    late.forEach(piece -> queue.remove(piece.id()));
    startRate.latePerSecond(now).ifPresent(rate -> late.addAll(takeHopeless(rate, now)));
    return late;
  }

  private List<Piece> takeHopeless(double perSecond, long now) {
    List<Piece> behind =
        queue.values().stream()
            .filter(piece -> now - piece.startBy() > LATE_PATIENCE_NANOS)
            .sorted(order.at(now))
            .toList();
    List<Piece> hopeless = new ArrayList<>();
    double rate = Math.max(MIN_PIECES_PER_SECOND, perSecond * LATE_RATE_DOUBT);
    int ahead = 0;
    for (Piece piece : behind) {
      if (ahead / rate * 1_000 > Nanos.toMillis(piece.deadline() - now)) {
        hopeless.add(piece);
      } else {
        ahead++;
      }
    }
    hopeless.forEach(piece -> queue.remove(piece.id()));
    return hopeless;
  }

  /**
   * Returns the calls to make now; they count as made.
   *
   * @param now current time
   * @return the calls
   */
  public List<PieceCall> nextCalls(long now) {
    startRate.arrivedInTime((int) arrived.stream().filter(p -> isInTime(p, now)).count(), now);
    arrived.clear();
    List<PieceCall> next = new ArrayList<>();
    kept.values().removeIf(result -> dropIfExpired(result, now));
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
    List<StageWorker> free =
        workers.values().stream()
            .filter(worker -> worker.isFree(limits.slots(), now) && !isTooSlow(worker))
            .sorted(Comparator.comparingDouble((StageWorker worker) -> worker.ratio()))
            .toList();
    List<List<Piece>> groups = free.isEmpty() ? List.of() : groups(now);
    for (StageWorker worker : free) {
      List<Piece> pieces = selectFor(worker, groups, now);
      if (!pieces.isEmpty()) {
        return Optional.of(begin(worker, pieces, now));
      }
    }
    return Optional.empty();
  }

  /** Returns whether pieces are done sooner if they wait for a faster replica. */
  private boolean isTooSlow(StageWorker worker) {
    List<StageWorker> listed = workers.values().stream().filter(StageWorker::isListed).toList();
    double best = listed.stream().mapToDouble(StageWorker::ratio).min().orElse(1);
    long faster = listed.stream().filter(w -> w.ratio() <= SLOW_BOUND * best).count();
    return worker.ratio() > SLOW_BOUND * best && queue.size() <= faster * limits.batch();
  }

  /** Returns the waiting pieces in order, those of one stage of one request together. */
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
   * Selects pieces for a replica: whole groups, since a request waits for the last of its pieces;
   * part of one only where no whole group fits. Groups of the replica's data centre go first.
   */
  private List<Piece> selectFor(StageWorker worker, List<List<Piece>> groups, long now) {
    List<Piece> selected = new ArrayList<>();
    long room = limits.resultMemoryBytes() - worker.takenBytes(now);
    long lateRoom = (long) (limits.resultMemoryBytes() * (1 - LATE_ROOM_SHARE));
    for (boolean near : new boolean[] {true, false}) {
      for (List<Piece> group : groups) {
        Piece first = group.get(0);
        boolean wanted =
            isNear(first, worker) == near
                && (near || mayCross(first, now))
                && (isInTime(first, now) || room > lateRoom);
        long bytes = bytes(group);
        if (wanted && selected.size() + group.size() <= limits.batch() && bytes <= room) {
          selected.addAll(group);
          room -= bytes;
        }
      }
    }
    return selected.isEmpty() ? selectPart(groups, room) : selected;
  }

  /** Selects part of the first group if it is too large for a call or for an empty replica. */
  private List<Piece> selectPart(List<List<Piece>> groups, long room) {
    if (groups.isEmpty()) {
      return List.of();
    }
    List<Piece> group = groups.get(0);
    long bytes = bytes(group);
    if (group.size() <= limits.batch() && bytes <= limits.resultMemoryBytes()) {
      return List.of();
    }
    List<Piece> selected = new ArrayList<>();
    long left = room;
    for (Piece piece : group) {
      if (selected.size() < limits.batch() && piece.resultBytes() <= left) {
        selected.add(piece);
        left -= piece.resultBytes();
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

  private static boolean isNear(Piece piece, StageWorker worker) {
    return piece.preferredDataCentre().isEmpty()
        || piece.preferredDataCentre().get().equals(worker.replica().dataCentre());
  }

  /** Returns whether a piece may go to another data centre: if it is urgent, or must. */
  private boolean mayCross(Piece piece, long now) {
    boolean urgent = now + CROSSING_SLACK_NANOS - piece.startBy() > 0;
    boolean crowded = queue.size() >= limits.batch();
    return urgent
        || crowded
        || workers.values().stream().noneMatch(w -> w.isListed() && isNear(piece, w));
  }

  private PieceCall begin(StageWorker worker, List<Piece> pieces, long now) {
    long expected = Nanos.ofMillis((long) (limits.millis(pieces.size()) * worker.ratio()));
    final PieceCall call = new PieceCall(++lastNumber, worker.replica(), pieces, now, expected);
    pieces.forEach(piece -> queue.remove(piece.id()));
    if (!queue.isEmpty()) {
      callSize += SIZE_WEIGHT * (pieces.size() - callSize);
    }
    worker.begin(bytes(pieces));
    calls.put(call.number(), call);
    return call;
  }

  /**
   * Takes the answer to a call.
   *
   * @param number number of the call
   * @param results handle or reason for each piece, in the order of the call, not null
   * @param self name of this instance, not null
   * @param now current time
   * @return what became of the pieces; those that are tried again are left out
   */
  public Completion complete(long number, List<PieceResponse> results, String self, long now) {
    PieceCall call = calls.remove(number);
    if (call == null) {
      return Completion.NOTHING;
    }
    if (results.size() != call.pieces().size()) {
      calls.put(number, call);
      return fail(number, false, now);
    }
    StageWorker worker = workers.get(call.replica().id());
    end(call, worker);
    boolean allMade = results.stream().allMatch(answer -> answer.handle().isPresent());
    if (allMade) {
      worker.learnSpeed((now - call.startedAt()) / Math.max(1.0, call.expectedNanos()));
    }
    Completion completion = new Completion(new ArrayList<>(), new ArrayList<>());
    long refusedBytes = 0;
    for (int i = 0; i < results.size(); i++) {
      if (results.get(i).reason().equals(PieceResponse.NO_MEMORY)) {
        refusedBytes += call.pieces().get(i).resultBytes();
      }
      take(call.pieces().get(i), results.get(i), worker, self, now, completion);
    }
    worker.learnRefused(refusedBytes, now);
    return completion;
  }

  private void take(
      Piece piece,
      PieceResponse answer,
      StageWorker worker,
      String self,
      long now,
      Completion into) {
    if (answer.handle().isPresent()) {
      StageResult result = new StageResult(answer.handle().get(), self, piece.resultBytes());
      if (cancelledInCall.remove(piece.id())) {
        into.unwanted().add(result);
        return;
      }
      worker.keep(piece.resultBytes());
      long expiresAt = now + Nanos.ofMillis(limits.resultTtlMillis());
      kept.put(result.handle(), new Kept(worker, piece.origin(), piece.resultBytes(), expiresAt));
      into.outcomes().add(PieceOutcome.computed(piece.id(), result));
      return;
    }
    if (cancelledInCall.remove(piece.id())) {
      return;
    }
    boolean noRoom = answer.reason().equals(PieceResponse.NO_MEMORY);
    Piece next = noRoom ? piece : piece.failedOnce();
    boolean again = answer.retryable() && next.attempts() < MAX_ATTEMPTS;
    if (again && now - piece.deadline() < 0) {
      queue.put(piece.id(), next);
    } else {
      into.outcomes().add(PieceOutcome.failed(piece.id(), answer.reason()));
    }
  }

  /**
   * Takes the failure of a call. Its pieces wait again, unless they have failed too often.
   *
   * @param number number of the call
   * @param wasFull whether the replica said that it has no place for the call
   * @param now current time
   * @return outcomes of the pieces that are given up
   */
  public Completion fail(long number, boolean wasFull, long now) {
    PieceCall call = calls.remove(number);
    if (call == null) {
      return Completion.NOTHING;
    }
    StageWorker worker = workers.get(call.replica().id());
    end(call, worker);
    worker.failed(now);
    if (!wasFull) {
      long bytes = bytes(call.pieces());
      worker.reserve(bytes, limits.resultTtlMillis(), now);
    }
    Completion completion = new Completion(new ArrayList<>(), new ArrayList<>());
    for (Piece piece : call.pieces()) {
      boolean cancelled = cancelledInCall.remove(piece.id());
      Piece next = wasFull ? piece : piece.failedOnce();
      if (!cancelled && next.attempts() < MAX_ATTEMPTS && now - piece.deadline() < 0) {
        queue.put(piece.id(), next);
      } else if (!cancelled) {
        completion.outcomes().add(PieceOutcome.failed(piece.id(), PieceOutcome.FAILED));
      }
    }
    return completion;
  }

  private void end(PieceCall call, StageWorker worker) {
    worker.end(bytes(call.pieces()));
  }

  /**
   * Accounts for a result that its replica has dropped.
   *
   * @param handle handle of the result, not null
   * @return whether this gatherer knew of it
   */
  public boolean onReleased(String handle) {
    Kept result = kept.remove(handle);
    if (result != null) {
      result.worker().drop(result.bytes());
    }
    return result != null;
  }

  /** Returns whether a replica has so little room left that results should be released at once. */
  public boolean isMemoryScarce() {
    return workers.values().stream()
        .anyMatch(worker -> worker.usedBytes() > SCARCE_ROOM_SHARE * limits.resultMemoryBytes());
  }

  private static boolean dropIfExpired(Kept result, long now) {
    boolean expired = now - result.expiresAt() >= 0;
    if (expired) {
      result.worker().drop(result.bytes());
    }
    return expired;
  }

  /**
   * Takes a replica's report of its memory: what this gatherer does not account for itself, another
   * one has had made there.
   *
   * @param replicaId identifier of the replica, not null
   * @param freeBytes memory for results that is free
   * @param now current time
   */
  public void onFreeMemory(String replicaId, long freeBytes, long now) {
    StageWorker worker = workers.get(replicaId);
    if (worker != null) {
      worker.learnTaken(limits.resultMemoryBytes() - freeBytes, now);
    }
  }

  /** Returns the number of waiting pieces. */
  public int waiting() {
    return queue.size();
  }

  /** Returns the number of calls in progress. */
  public int callsInProgress() {
    return calls.size();
  }

  /**
   * Returns how long a piece that is submitted now waits for the start of its call, estimated.
   *
   * @param now current time
   * @return the wait
   */
  public QueueWait queueWait(long now) {
    boolean anyFree = workers.values().stream().anyMatch(w -> w.isFree(limits.slots(), now));
    if (queue.isEmpty() && anyFree) {
      return QueueWait.NONE;
    }
    double perSecond =
        workers.values().stream()
            .filter(StageWorker::isListed)
            .mapToDouble(worker -> limits.slots() * callSize / seconds(callSize) / worker.ratio())
            .sum();
    double reached = Math.min(perSecond, startRate.perSecond(now).orElse(perSecond));
    double millisPerPiece = 1_000.0 / Math.max(MIN_PIECES_PER_SECOND, reached);
    double untilFree = limits.millis(limits.batch() / 2) / Math.max(1, workers.size());
    long inTime = queue.values().stream().filter(p -> isInTime(p, now)).count();
    double late = (queue.size() - inTime) * latePieceMillis(millisPerPiece, now);
    return new QueueWait(
        (int) (untilFree + inTime * millisPerPiece),
        (int) Math.min(MAX_WAIT_MILLIS, untilFree + inTime * millisPerPiece + late));
  }

  /** Returns the time between starts of late pieces, which have what those in time leave. */
  private double latePieceMillis(double millisPerPiece, long now) {
    OptionalDouble perSecond = startRate.latePerSecond(now);
    return perSecond.isPresent()
        ? Math.max(millisPerPiece, 1_000 / Math.max(MIN_PIECES_PER_SECOND, perSecond.getAsDouble()))
        : millisPerPiece;
  }

  private double seconds(double pieces) {
    return (limits.callMillis() + pieces * limits.pieceMillis()) / 1_000;
  }

  /**
   * What became of the pieces of a call.
   *
   * @param outcomes outcomes to tell the origins of
   * @param unwanted results that nobody waits for any more, to be released
   */
  public record Completion(List<PieceOutcome> outcomes, List<StageResult> unwanted) {
    /** Nothing became of anything. */
    public static final Completion NOTHING = new Completion(List.of(), List.of());
  }

  /** A result at a replica. */
  private record Kept(StageWorker worker, String origin, long bytes, long expiresAt) {}
}
