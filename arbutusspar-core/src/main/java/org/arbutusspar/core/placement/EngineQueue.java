package org.arbutusspar.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.arbutusspar.core.Nanos;

/**
 * Chooses replicas of one model engine, and lets requests of all instances that find no room wait
 * in one queue.
 *
 * <p>Load pattern: callers that compete for engines whose room is too small at times, as in a burst
 * of one kind of request. Without a queue, room that comes free goes to whoever asks next, and
 * whoever asked before is rejected, whatever its rank. The queue gives it to the most urgent
 * request that can still be in time. A request that is not expected to be in time is rejected when
 * it arrives, with the time at which room is expected, rather than at its deadline.
 *
 * <p>Room goes first to kinds, workspaces, sessions and large requests that are served much less
 * often than others, so that none of them starves. For a request that finds no room, although
 * smaller ones would, one replica is kept free of these until its room suffices.
 *
 * <p>The instance that asked keeps the request. It asks again while the request waits; a request
 * for which nobody asks any more is dropped. Not thread-safe.
 */
public final class EngineQueue implements EngineChooser {

  /** Time without a question after which a waiting request is dropped. */
  private static final long ABANDONED_NANOS = Nanos.ofMillis(1_000);

  /** Maximum interval between two passes over the queue while requests wait. */
  private static final long MAX_ADVANCE_INTERVAL_NANOS = Nanos.ofMillis(50);

  /** Number of waiting requests up to which a pass takes place whenever there may be room. */
  private static final int SHORT_QUEUE = 32;

  /** Least interval between two passes over a longer queue, for each waiting request. */
  private static final long ADVANCE_INTERVAL_NANOS_PER_REQUEST = 5_000;

  /** Interval at which it is found which groups are served much less often than others. */
  private static final long JUDGE_INTERVAL_NANOS = Nanos.ofMillis(100);

  private static final int MAX_WAITING = 2_048;

  /** Maximum number of replicas that are kept free for requests that find no room. */
  private static final int MAX_RESERVED = 4;

  /** Least share of a kind's or workspace's requests that is served, relative to all requests. */
  private static final double MIN_RELATIVE_SHARE = 0.6;

  /** Least share of a kind's large requests that is served, relative to the kind. */
  private static final double MIN_RELATIVE_SHARE_OF_LARGE = 0.75;

  /** Least share of a session's requests that is served, relative to its kind. */
  private static final double MIN_RELATIVE_SHARE_OF_SESSION = 0.25;

  /** Share of the time until its deadline for which a request that will be late may wait. */
  private static final double MAX_LATE_WAIT_SHARE = 0.25;

  /** Number of requests from which on the share of a kind, workspace or size is judged. */
  private static final double MIN_ASKED = 8;

  /** Number of requests from which on the share of a session is judged. */
  private static final double MIN_ASKED_OF_SESSION = 2;

  /** Work of an engine for an output token, in tokens that it reads in the same time. */
  private static final long WORK_OF_OUTPUT_TOKEN = 10;

  private static final String ALL = "all";

  private final EnginePlacer placer;
  private final WaitForecast forecast = WaitForecast.create();
  private final ServedShares shares = ServedShares.create();
  private final SizeBands sizes = SizeBands.create();
  private final Map<String, Waiting> waiting = new LinkedHashMap<>();
  private final List<Settled> settled = new ArrayList<>();
  private long lastSequence;

  /** Time of the last pass over the queue. */
  private long advancedAt;

  /** Time at which it was last found which groups are served much less often than others. */
  private long judgedAt;

  private EngineQueue(EnginePlacer placer) {
    this.placer = placer;
  }

  /**
   * Returns an empty queue.
   *
   * @param placer chooses the replicas; only the queue uses it from now on, not null
   * @return the queue
   */
  public static EngineQueue create(EnginePlacer placer) {
    return new EngineQueue(Objects.requireNonNull(placer, "placer"));
  }

  @Override
  public void replicas(Collection<UpstreamReplica> available) {
    placer.replicas(available);
  }

  /**
   * Decides on a request. A request that has a place already keeps it, also if it asks again,
   * unless it excludes that replica by now. A request without a demand never waits.
   */
  @Override
  public EngineDecision ask(EnginePlacer.EngineRequest request, long now) {
    Optional<UpstreamReplica> place = placer.replicaOf(request.id());
    if (place.isPresent() && !request.excluded().contains(place.get().id())) {
      return EngineDecision.placed(place.get());
    }
    placer.onEnded(request.id(), true, now);
    if (request.demand().isEmpty()) {
      return placer.ask(request, now);
    }
    Waiting known = waiting.get(request.id());
    if (known != null) {
      known.request = request;
      known.lastAskedAt = now;
      return EngineDecision.waiting(waitMillis(known, now));
    }
    return placer.fitsIdleReplica(request) ? arrive(request, now) : EngineDecision.rejected(0);
  }

  private EngineDecision arrive(EnginePlacer.EngineRequest request, long now) {
    Waiting entry = new Waiting(request, ++lastSequence, groups(request), now);
    entry.groups.all().forEach(group -> shares.onAsked(group, now));
    entry.updateOrder(isBehind(entry.groups, now), now);
    waiting.put(request.id(), entry);
    if (placer.hasFreeReplica(now) && mayAdvance(now) || waiting.size() > MAX_WAITING) {
      advance(now);
    }
    return takeDecision(request.id()).orElseGet(() -> admit(entry, now));
  }

  private Groups groups(EnginePlacer.EngineRequest request) {
    EngineDemand demand = request.demand().orElseThrow();
    long size =
        request.sharedTokens() + request.ownTokens() + WORK_OF_OUTPUT_TOKEN * demand.outputTokens();
    return new Groups(
        "kind/" + demand.kind(),
        "workspace/" + demand.workspace(),
        "size/" + demand.kind() + "/" + sizes.band(demand.kind(), size),
        "session/" + demand.kind() + "/" + request.promptKey());
  }

  /** Returns the decision on a request that was settled since it asked, and forgets it. */
  private Optional<EngineDecision> takeDecision(String requestId) {
    Optional<Settled> own =
        settled.stream().filter(each -> each.request().id().equals(requestId)).findFirst();
    own.ifPresent(settled::remove);
    return own.map(Settled::decision);
  }

  /** Lets a new request wait if it is expected to be in time or soon, and rejects it otherwise. */
  private EngineDecision admit(Waiting entry, long now) {
    entry.position = position(entry);
    long waitMillis = waitMillis(entry, now);
    entry.forecastMillis = waitMillis;
    long waitNanos = Nanos.ofMillis(waitMillis);
    boolean late = now + waitNanos - entry.latestStart() > 0;
    boolean soon = waitNanos <= MAX_LATE_WAIT_SHARE * (entry.demand().deadline() - now);
    if (late && !soon && !entry.isKept()) {
      waiting.remove(entry.request.id());
      return EngineDecision.rejected(returnMillis(entry, now));
    }
    return EngineDecision.waiting(waitMillis);
  }

  private int position(Waiting entry) {
    long before =
        waiting.values().stream().filter(each -> Waiting.ORDER.compare(each, entry) < 0).count();
    return (int) before + 1;
  }

  private long waitMillis(Waiting entry, long now) {
    return forecast.waitMillis(entry.position, entry.isLate(), placer.inFlight(), now);
  }

  /** Returns the time after which the client of a rejected request is to return. */
  private long returnMillis(Waiting entry, long now) {
    return forecast.returnMillis(entry.position, placer.inFlight(), now);
  }

  /** Returns whether a pass may take place now; passes over a long queue are less frequent. */
  private boolean mayAdvance(long now) {
    return waiting.size() <= SHORT_QUEUE
        || now - advancedAt >= waiting.size() * ADVANCE_INTERVAL_NANOS_PER_REQUEST;
  }

  @Override
  public List<Settled> settle(long now) {
    boolean due = now - advancedAt >= MAX_ADVANCE_INTERVAL_NANOS;
    if (!waiting.isEmpty() && (due || mayAdvance(now) && placer.hasFreeReplica(now))) {
      advance(now);
    }
    List<Settled> done = List.copyOf(settled);
    settled.clear();
    return done;
  }

  private void advance(long now) {
    advancedAt = now;
    waiting.values().removeIf(entry -> now - entry.lastAskedAt > ABANDONED_NANOS);
    List<Waiting> order = inOrder(now);
    place(order, now);
    order.removeIf(entry -> !waiting.containsKey(entry.request.id()));
    rejectInfeasible(order, now);
  }

  private List<Waiting> inOrder(long now) {
    boolean judge = now - judgedAt >= JUDGE_INTERVAL_NANOS;
    if (judge) {
      judgedAt = now;
    }
    for (Waiting entry : waiting.values()) {
      entry.updateOrder(judge ? isBehind(entry.groups, now) : entry.behind, now);
    }
    List<Waiting> order = new ArrayList<>(waiting.values());
    order.sort(Waiting.ORDER);
    return order;
  }

  private boolean isBehind(Groups groups, long now) {
    return shares.isBehind(groups.kind, ALL, MIN_RELATIVE_SHARE, MIN_ASKED, now)
        || shares.isBehind(groups.workspace, ALL, MIN_RELATIVE_SHARE, MIN_ASKED, now)
        || shares.isBehind(groups.size, groups.kind, MIN_RELATIVE_SHARE_OF_LARGE, MIN_ASKED, now)
        || shares.isBehind(
            groups.session, groups.kind, MIN_RELATIVE_SHARE_OF_SESSION, MIN_ASKED_OF_SESSION, now);
  }

  private void place(List<Waiting> order, long now) {
    Set<String> reserved = new HashSet<>();
    for (Waiting entry : order) {
      if (reserved.size() >= MAX_RESERVED || !placer.hasFreeReplica(now)) {
        return;
      }
      Set<String> excluded = new HashSet<>(entry.request.excluded());
      excluded.addAll(reserved);
      Optional<UpstreamReplica> replica = placer.place(entry.request.withExcluded(excluded), now);
      if (replica.isPresent()) {
        onPlaced(entry, replica.get(), now);
      } else {
        placer.leastFilled(excluded, now).ifPresent(reserved::add);
      }
    }
  }

  private void onPlaced(Waiting entry, UpstreamReplica replica, long now) {
    entry.groups.all().forEach(group -> shares.onServed(group, now));
    forecast.onPlaced(entry.isLate(), now);
    finish(entry, EngineDecision.placed(replica), Reason.ROOM, now);
  }

  /**
   * Rejects waiting requests that cannot be served before their deadline, that can no longer be in
   * time while others can, or that are too many. Requests that may have run stay. If no replica is
   * left, all are rejected.
   */
  private void rejectInfeasible(List<Waiting> order, long now) {
    boolean anyInTime = order.stream().anyMatch(entry -> entry.inTime);
    int position = 1;
    for (Waiting entry : order) {
      entry.position = position;
      long waitNanos = Nanos.ofMillis(waitMillis(entry, now));
      if (!placer.hasReplicas()) {
        finish(entry, EngineDecision.rejected(0), Reason.NO_REPLICA, now);
      } else if (entry.demand().mayHaveRun()) {
        position++;
      } else if (now + waitNanos + entry.readNanos - entry.demand().deadline() > 0) {
        finish(entry, EngineDecision.rejected(0), Reason.NO_TIME, now);
      } else if (anyInTime && !entry.inTime && !entry.isKept()) {
        finish(entry, EngineDecision.rejected(returnMillis(entry, now)), Reason.GAVE_WAY, now);
      } else if (position > MAX_WAITING) {
        finish(entry, EngineDecision.rejected(returnMillis(entry, now)), Reason.QUEUE_FULL, now);
      } else {
        position++;
      }
    }
  }

  private void finish(Waiting entry, EngineDecision decision, Reason reason, long now) {
    waiting.remove(entry.request.id());
    settled.add(
        new Settled(
            entry.request,
            decision,
            reason,
            entry.forecastMillis,
            (long) Nanos.toMillis(now - entry.arrivedAt)));
  }

  @Override
  public void onResponseStarted(String requestId, long now) {
    placer.onResponseStarted(requestId, now);
  }

  @Override
  public Optional<EnginePlacer.FirstEventWork> workBeforeResponse(String requestId) {
    return placer.workBeforeResponse(requestId);
  }

  @Override
  public void onStatedLoad(String requestId, int requests, long now) {
    placer.onStatedLoad(requestId, requests, now);
  }

  @Override
  public void onEnded(String requestId, boolean responded, long now) {
    waiting.remove(requestId);
    settled.removeIf(each -> each.request().id().equals(requestId));
    OptionalLong placedAt = placer.placedAt(requestId);
    placedAt.ifPresent(time -> forecast.onEnded(now - time));
    placer.onEnded(requestId, responded, now);
  }

  @Override
  public void removeOrigin(String origin, long now) {
    waiting.values().removeIf(entry -> entry.request.origin().equals(origin));
    settled.removeIf(each -> each.request().origin().equals(origin));
    placer.removeOrigin(origin, now);
  }

  @Override
  public int waiting() {
    return waiting.size();
  }

  @Override
  public long expectedWaitMillis(long now) {
    return waiting.isEmpty() && placer.hasFreeReplica(now)
        ? 0
        : forecast.waitMillis(waiting.size() + 1, false, placer.inFlight(), now);
  }

  /** Groups of a request of which none may starve. */
  private record Groups(String kind, String workspace, String size, String session) {
    private List<String> all() {
      return List.of(ALL, kind, workspace, size, session);
    }
  }

  /** A request that waits. Times are in nanoseconds. */
  private static final class Waiting {
    private static final Comparator<Waiting> ORDER =
        Comparator.comparing((Waiting entry) -> !entry.behind)
            .thenComparing(entry -> !entry.inTime)
            .thenComparingInt(entry -> entry.demand().rank())
            .thenComparing(entry -> !entry.demand().returned())
            .thenComparing(Waiting::latestStart, (a, b) -> Long.signum(a - b))
            .thenComparingLong(entry -> entry.sequence);

    private final long sequence;
    private final Groups groups;
    private final long arrivedAt;
    private final long readNanos;
    private EnginePlacer.EngineRequest request;
    private long lastAskedAt;
    private long forecastMillis;

    /** Position in the queue as of the last pass, 1 for the first. */
    private int position;

    /** Whether one of its groups is served much less often than others. */
    private boolean behind;

    private boolean inTime;

    private Waiting(
        EnginePlacer.EngineRequest request, long sequence, Groups groups, long arrivedAt) {
      this.request = request;
      this.sequence = sequence;
      this.groups = groups;
      this.arrivedAt = arrivedAt;
      this.lastAskedAt = arrivedAt;
      this.readNanos = Nanos.ofMillis((long) EnginePlacer.readMillis(request));
    }

    private EngineDemand demand() {
      return request.demand().orElseThrow();
    }

    /** Returns whether it is kept although it cannot be in time. */
    private boolean isKept() {
      return demand().returned() || demand().mayHaveRun();
    }

    /** Returns the time until which it must be placed to be in time. */
    private long latestStart() {
      return demand().targetAt() - readNanos;
    }

    /** Returns whether it goes after those that can be in time. */
    private boolean isLate() {
      return !behind && !inTime;
    }

    private void updateOrder(boolean nowBehind, long now) {
      behind = nowBehind;
      inTime = latestStart() - now >= 0;
    }
  }
}
