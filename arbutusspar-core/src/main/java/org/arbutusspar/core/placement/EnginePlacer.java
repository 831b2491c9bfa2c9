package org.arbutusspar.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.Rendezvous;
import org.arbutusspar.core.id.DataCentre;

/**
 * Chooses replicas of one model engine for the requests of all instances. Each request goes to the
 * replica with the lowest estimated cost.
 *
 * <p>Load pattern: long prompts that arrive close together. A replica reads prompts in chunks
 * between the tokens of its running streams, so several long prompts in succession pause all of
 * these streams. Instances that choose replicas independently do not see each other's prompts; one
 * common placer does, and spreads them over the replicas. Requests that share prompt parts go to a
 * replica that has read these parts, unless reading them again elsewhere costs less than waiting.
 */
public final class EnginePlacer implements EngineChooser {

  /** Number of unread tokens up to which a replica reads prompts without pausing its streams. */
  private static final long MAX_TOKENS_WITHOUT_PAUSE = 20_000;

  /** Cost of a pause for each request in flight, in milliseconds. */
  private static final double STREAM_PAUSE_COST_MILLIS = 60;

  /** Assumed number of tokens that a replica reads per millisecond; it is not configured. */
  private static final double READ_TOKENS_PER_MILLI = 80;

  /** Assumed time until the first event besides that for reading prompts, in milliseconds. */
  private static final double FIRST_EVENT_MILLIS = 15;

  /** Cost of reading shared prompt parts again, besides the time that it takes, in milliseconds. */
  private static final double REREAD_COST_MILLIS = 40;

  /** Cost of reading one byte of a result from another data centre, in milliseconds. */
  private static final double CROSS_DATA_CENTRE_MILLIS_PER_BYTE = 9e-6;

  /** Cost of each request in flight at the replica, in milliseconds. */
  private static final double IN_FLIGHT_COST_MILLIS = 2;

  /** Cost of running the request itself at the usual speed, in milliseconds. */
  private static final double OWN_COST_MILLIS = 5;

  /** Number of recent prompt keys whose parts a replica is assumed to have in its cache. */
  private static final int MAX_PROMPT_KEYS_PER_REPLICA = 256;

  /** Expected time to the start of a response besides the time of reading, in milliseconds. */
  private static final double MIN_EXPECTED_MILLIS = 100;

  private static final long FIRST_COOLDOWN_MILLIS = 300;
  private static final int MAX_COOLDOWN_DOUBLINGS = 4;

  /** Time after which a request without a report of its end counts as ended, in milliseconds. */
  private static final long REQUEST_EXPIRY_MILLIS = 60_000;

  /** Time for which the load that a replica stated corrects the load counted here. */
  private static final long STATED_LOAD_NANOS = Nanos.ofMillis(2_000);

  private final Map<String, EngineReplica> engines = new LinkedHashMap<>();
  private final Map<String, PlacedRequest> placed = new LinkedHashMap<>();

  private final SendPermits permits;
  private final ReplicaPace pace;
  private final ReplicaSpeeds speeds;
  private final EngineRoom room;

  private EnginePlacer(
      SendPermits permits, ReplicaPace pace, ReplicaSpeeds speeds, EngineRoom room) {
    this.permits = permits;
    this.pace = pace;
    this.speeds = speeds;
    this.room = room;
  }

  /** Returns a placer without replicas that needs no permits. */
  public static EnginePlacer create() {
    return create(SendPermits.UNLIMITED);
  }

  /**
   * Returns a placer without replicas.
   *
   * @param permits permits of which one is taken for each placed request, not null
   * @return the placer
   */
  public static EnginePlacer create(SendPermits permits) {
    return create(permits, ReplicaPace.NONE, ReplicaSpeeds.EQUAL);
  }

  /**
   * Returns a placer without replicas, for replicas whose room is that of their slots.
   *
   * @param permits permits of which one is taken for each placed request, not null
   * @param pace pace of replicas that start or recover, not null
   * @param speeds speeds of the replicas, by which expected times are divided, not null
   * @return the placer
   */
  public static EnginePlacer create(SendPermits permits, ReplicaPace pace, ReplicaSpeeds speeds) {
    return create(permits, pace, speeds, EngineRoom.SLOTS);
  }

  /**
   * Returns a placer without replicas.
   *
   * @param permits permits of which one is taken for each placed request, not null
   * @param pace pace of replicas that start or recover, not null
   * @param speeds speeds of the replicas, by which expected times are divided, not null
   * @param room decides which replicas have room for a request, not null
   * @return the placer
   */
  public static EnginePlacer create(
      SendPermits permits, ReplicaPace pace, ReplicaSpeeds speeds, EngineRoom room) {
    return new EnginePlacer(
        Objects.requireNonNull(permits, "permits"),
        Objects.requireNonNull(pace, "pace"),
        Objects.requireNonNull(speeds, "speeds"),
        Objects.requireNonNull(room, "room"));
  }

  @Override
  public void replicas(Collection<UpstreamReplica> available) {
    Map<String, UpstreamReplica> listed = new HashMap<>();
    available.forEach(replica -> listed.put(replica.id(), replica));
    engines.keySet().retainAll(listed.keySet());
    listed.forEach((id, r) -> engines.computeIfAbsent(id, i -> new EngineReplica()).replica = r);
  }

  /**
   * Chooses a replica for a request and counts the request as in flight there. An earlier placement
   * of the same request is replaced. Replicas that are cooling down are chosen only if all are.
   *
   * @param request the request, not null
   * @param now current monotonic time, in nanoseconds
   * @return the replica, or empty if every permitted replica is at capacity
   */
  public Optional<UpstreamReplica> place(EngineRequest request, long now) {
    removeExpired(now);
    onEnded(request.id(), true, now);
    boolean anyHealthy = engines.values().stream().anyMatch(e -> e.isHealthy(now));
    List<EngineReplica> candidates =
        engines.values().stream()
            .filter(engine -> !request.excluded().contains(engine.replica.id()))
            .filter(engine -> engine.isHealthy(now) || !anyHealthy)
            .toList();
    Optional<EngineReplica> hashedEngine = hashedEngine(request, candidates);
    List<EngineReplica> withRoom =
        candidates.stream()
            .filter(engine -> hasRoom(engine, request, now))
            .filter(engine -> engine.inFlight < pace.maxLimit(engine.replica, now))
            .filter(engine -> permits.isAvailable(engine.replica, now))
            .toList();
    Optional<EngineReplica> best =
        preferWithinPace(withRoom, request.repeatable(), now).stream()
            .min(
                Comparator.comparingDouble(
                        (EngineReplica engine) ->
                            engine.costMillis(
                                request, hashedEngine.filter(engine::equals), speed(engine, now)))
                    .thenComparingLong(engine -> hashRank(request, engine)));
    best.ifPresent(engine -> recordPlacement(request, engine, now));
    return best.map(engine -> engine.replica);
  }

  @Override
  public EngineDecision ask(EngineRequest request, long now) {
    return place(request, now)
        .map(EngineDecision::placed)
        .orElseGet(() -> EngineDecision.rejected(0));
  }

  private boolean hasRoom(EngineReplica engine, EngineRequest request, long now) {
    double readMillis = engine.tokensToRead(request) / READ_TOKENS_PER_MILLI / speed(engine, now);
    return room.admits(load(engine, now), request.memoryTokens(), readMillis);
  }

  private EngineLoad load(EngineReplica engine, long now) {
    int unknown = engine.unknownRequests(now);
    long meanTokens = engine.inFlight == 0 ? 0 : engine.heldTokens / engine.inFlight;
    return new EngineLoad(
        engine.replica.slots(),
        engine.inFlight + unknown,
        engine.heldTokens + unknown * meanTokens,
        engine.unreadTokens / READ_TOKENS_PER_MILLI / speed(engine, now));
  }

  private double speed(EngineReplica engine, long now) {
    return speeds.relativeSpeed(engine.replica, now);
  }

  /**
   * Returns the time that a replica of usual speed needs to read the whole prompt of a request.
   *
   * @param request the request, not null
   * @return the time in milliseconds
   */
  static double readMillis(EngineRequest request) {
    return (request.sharedTokens() + request.ownTokens()) / READ_TOKENS_PER_MILLI;
  }

  /** Returns whether there is any replica that may be chosen, with room or not. */
  boolean hasReplicas() {
    return !engines.isEmpty();
  }

  /** Returns whether a replica has a free slot and a permit, so that some request may fit. */
  boolean hasFreeReplica(long now) {
    return engines.values().stream()
        .anyMatch(
            engine ->
                EngineRoom.SLOTS.admits(load(engine, now), 0, 0)
                    && engine.inFlight < pace.maxLimit(engine.replica, now)
                    && permits.isAvailable(engine.replica, now));
  }

  /**
   * Returns the replica whose memory will soonest have room for a request that finds none.
   *
   * @param excluded identifiers of replicas that are not considered, not null
   * @param now current monotonic time, in nanoseconds
   * @return the identifier of the healthy replica that holds the fewest tokens; empty if there is
   *     none
   */
  Optional<String> leastFilled(Collection<String> excluded, long now) {
    return engines.values().stream()
        .filter(engine -> !excluded.contains(engine.replica.id()) && engine.isHealthy(now))
        .min(Comparator.comparingLong(engine -> load(engine, now).heldTokens()))
        .map(engine -> engine.replica.id());
  }

  /** Returns the replica of a request that is in flight, empty if the request is not. */
  Optional<UpstreamReplica> replicaOf(String requestId) {
    return Optional.ofNullable(placed.get(requestId)).map(request -> request.engine.replica);
  }

  /** Returns the time of the placement of a request that is in flight, in nanoseconds. */
  OptionalLong placedAt(String requestId) {
    PlacedRequest request = placed.get(requestId);
    return request == null ? OptionalLong.empty() : OptionalLong.of(request.placedAt);
  }

  /** Returns whether a request would fit into a replica that may be chosen if it were idle. */
  boolean fitsIdleReplica(EngineRequest request) {
    return engines.values().stream()
        .map(engine -> engine.replica)
        .filter(replica -> !request.excluded().contains(replica.id()))
        .map(replica -> new EngineLoad(replica.slots(), 0, 0, 0))
        .anyMatch(idle -> room.admits(idle, request.memoryTokens(), 0));
  }

  /**
   * Returns the replicas that are within their pace, or all if none is. A request that must not be
   * repeated tests no replica.
   */
  private List<EngineReplica> preferWithinPace(
      List<EngineReplica> withRoom, boolean repeatable, long now) {
    List<EngineReplica> withinPace =
        withRoom.stream()
            .filter(engine -> engine.inFlight < pace.limit(engine.replica, now))
            .filter(engine -> repeatable || !pace.isDoubtful(engine.replica, now))
            .toList();
    return withinPace.isEmpty() ? withRoom : withinPace;
  }

  /**
   * Returns the replica that is preferred for prompt parts which no candidate is known to have
   * read. Rendezvous hashing selects the same replica at every placer, so a new placer sends
   * requests to the replica that has probably read their shared parts under the previous placer.
   */
  private static Optional<EngineReplica> hashedEngine(
      EngineRequest request, List<EngineReplica> candidates) {
    boolean sharedPartsRead =
        candidates.stream().anyMatch(engine -> engine.hasSharedParts(request));
    return sharedPartsRead
        ? Optional.empty()
        : candidates.stream().min(Comparator.comparingLong(engine -> hashRank(request, engine)));
  }

  private static long hashRank(EngineRequest request, EngineReplica engine) {
    return Rendezvous.hash(request.promptKey() + "/" + engine.replica.id());
  }

  private void recordPlacement(EngineRequest request, EngineReplica engine, long now) {
    final long unreadTokens = engine.tokensToRead(request);
    permits.take(engine.replica, now);
    pace.onChosen(engine.replica, now);
    engine.inFlight++;
    engine.unreadTokens += unreadTokens;
    engine.heldTokens += request.memoryTokens();
    engine.addPromptKey(request.promptKey());
    placed.put(request.id(), new PlacedRequest(request, engine, unreadTokens, now));
  }

  @Override
  public Optional<FirstEventWork> workBeforeResponse(String requestId) {
    return Optional.ofNullable(placed.get(requestId))
        .filter(request -> !request.responseStarted)
        .map(
            request ->
                new FirstEventWork(
                    request.engine.replica,
                    FIRST_EVENT_MILLIS + request.tokensToReadFirst / READ_TOKENS_PER_MILLI));
  }

  @Override
  public void onResponseStarted(String requestId, long now) {
    PlacedRequest placedRequest = placed.get(requestId);
    if (placedRequest != null && !placedRequest.responseStarted) {
      placedRequest.responseStarted = true;
      placedRequest.engine.unreadTokens -= placedRequest.unreadTokens;
      placedRequest.engine.cooldown.succeeded();
      pace.onResponse(
          placedRequest.engine.replica,
          Nanos.toMillis(now - placedRequest.placedAt),
          MIN_EXPECTED_MILLIS + placedRequest.tokensToReadFirst / READ_TOKENS_PER_MILLI,
          now);
    }
  }

  /**
   * Records the load that a replica has stated. Requests there that were placed by others, as by a
   * former placer, fill its slots too.
   */
  @Override
  public void onStatedLoad(String requestId, int requests, long now) {
    PlacedRequest placedRequest = placed.get(requestId);
    if (placedRequest != null) {
      placedRequest.engine.onStatedLoad(requests, now);
    }
  }

  /**
   * Records that a request has ended. A request that is not in flight is ignored.
   *
   * @param requestId identifier of the request, not null
   * @param responded whether its replica responded; if not, a cooldown of the replica starts and
   *     its cache is assumed to be empty
   * @param now current monotonic time, in nanoseconds
   */
  @Override
  public void onEnded(String requestId, boolean responded, long now) {
    PlacedRequest placedRequest = placed.remove(requestId);
    if (placedRequest == null) {
      return;
    }
    placedRequest.engine.inFlight--;
    placedRequest.engine.heldTokens -= placedRequest.heldTokens;
    if (!placedRequest.responseStarted) {
      placedRequest.engine.unreadTokens -= placedRequest.unreadTokens;
    }
    if (!responded) {
      EngineReplica engine = placedRequest.engine;
      engine.promptKeys.clear();
      if (!pace.onFailure(engine.replica, placedRequest.placedAt, now)) {
        engine.cooldown.failed(now);
      }
    }
  }

  /**
   * Records the end of all requests of an instance that is no longer live.
   *
   * @param origin name of the instance, not null
   * @param now current monotonic time, in nanoseconds
   */
  @Override
  public void removeOrigin(String origin, long now) {
    placed.entrySet().stream()
        .filter(entry -> entry.getValue().origin.equals(origin))
        .map(Map.Entry::getKey)
        .toList()
        .forEach(id -> onEnded(id, true, now));
  }

  private void removeExpired(long now) {
    while (!placed.isEmpty()) {
      Map.Entry<String, PlacedRequest> oldest = placed.entrySet().iterator().next();
      if (now - oldest.getValue().placedAt < Nanos.ofMillis(REQUEST_EXPIRY_MILLIS)) {
        return;
      }
      onEnded(oldest.getKey(), true, now);
    }
  }

  /** Returns the number of requests in flight at all replicas. */
  public int inFlight() {
    return placed.size();
  }

  /**
   * A request for which a replica is to be chosen.
   *
   * @param id identifier of the request
   * @param origin instance that serves the request
   * @param sharedParts identifiers of the prompt parts that the request shares with others
   * @param promptKey hash of the prompt parts that the request shares with others, 0 if none
   * @param sharedTokens number of tokens of the shared parts
   * @param ownTokens number of tokens of the rest of the prompt
   * @param preferredDataCentre data centre that stores most of the results that the request reads,
   *     if it reads any
   * @param inputBytes size of those results in bytes
   * @param excluded identifiers of replicas that must not be chosen
   * @param repeatable whether it may test a replica that has failed recently
   * @param demand what the request needs, and by when; empty if callers do not compete
   */
  public record EngineRequest(
      String id,
      String origin,
      List<String> sharedParts,
      long promptKey,
      long sharedTokens,
      long ownTokens,
      Optional<DataCentre> preferredDataCentre,
      long inputBytes,
      Collection<String> excluded,
      boolean repeatable,
      Optional<EngineDemand> demand) {

    /** Checks the components. */
    public EngineRequest {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(origin, "origin");
      sharedParts = List.copyOf(sharedParts);
      Objects.requireNonNull(preferredDataCentre, "preferredDataCentre");
      Objects.requireNonNull(excluded, "excluded");
      Objects.requireNonNull(demand, "demand");
    }

    /** Creates a request without a demand that may test a replica; see the components above. */
    public EngineRequest(
        String id,
        String origin,
        List<String> sharedParts,
        long promptKey,
        long sharedTokens,
        long ownTokens,
        Optional<DataCentre> preferredDataCentre,
        long inputBytes,
        Collection<String> excluded) {
      this(
          id,
          origin,
          sharedParts,
          promptKey,
          sharedTokens,
          ownTokens,
          preferredDataCentre,
          inputBytes,
          excluded,
          true,
          Optional.empty());
    }

    /** Returns the number of tokens that the request needs in the memory of a replica. */
    public long memoryTokens() {
      return sharedTokens + ownTokens + demand.map(EngineDemand::outputTokens).orElse(0L);
    }

    /** Returns this request with other replicas that must not be chosen. */
    EngineRequest withExcluded(Collection<String> newExcluded) {
      return new EngineRequest(
          id,
          origin,
          sharedParts,
          promptKey,
          sharedTokens,
          ownTokens,
          preferredDataCentre,
          inputBytes,
          newExcluded,
          repeatable,
          demand);
    }
  }

  /**
   * Work until the start of a response.
   *
   * @param replica the replica that does it
   * @param expectedMillis time that it takes at the usual speed, in milliseconds
   */
  public record FirstEventWork(UpstreamReplica replica, double expectedMillis) {}

  /** A request in flight at a replica. Times are in nanoseconds. */
  private static final class PlacedRequest {
    private final String origin;
    private final EngineReplica engine;
    private final long unreadTokens;
    private final long heldTokens;

    /** Tokens of all prompts that the replica reads before the response starts. */
    private final long tokensToReadFirst;

    private final long placedAt;
    private boolean responseStarted;

    private PlacedRequest(
        EngineRequest request, EngineReplica engine, long unreadTokens, long placedAt) {
      this.origin = request.origin();
      this.heldTokens = request.memoryTokens();
      this.engine = engine;
      this.unreadTokens = unreadTokens;
      this.tokensToReadFirst = engine.unreadTokens;
      this.placedAt = placedAt;
    }
  }

  /** State of a replica: its requests in flight, unread prompt tokens, prompt keys and health. */
  private static final class EngineReplica {
    private final LinkedHashMap<Long, Boolean> promptKeys = new LinkedHashMap<>();
    private UpstreamReplica replica;
    private int inFlight;
    private long unreadTokens;
    private long heldTokens;

    /** Requests that the replica stated beyond those that were in flight then. */
    private int statedUnknown;

    private long statedAt;
    private final FailureCooldown cooldown =
        FailureCooldown.create(FIRST_COOLDOWN_MILLIS, MAX_COOLDOWN_DOUBLINGS);

    private long tokensToRead(EngineRequest request) {
      boolean sharedPartsRead = hasSharedParts(request);
      return request.ownTokens() + (sharedPartsRead ? 0 : request.sharedTokens());
    }

    private boolean hasSharedParts(EngineRequest request) {
      return promptKeys.containsKey(request.promptKey());
    }

    private void onStatedLoad(int requests, long now) {
      statedUnknown = Math.max(0, requests - inFlight);
      statedAt = now;
    }

    private int unknownRequests(long now) {
      return now - statedAt < STATED_LOAD_NANOS ? statedUnknown : 0;
    }

    private double costMillis(
        EngineRequest request, Optional<EngineReplica> hashedEngine, double speed) {
      boolean sharedPartsRead = hasSharedParts(request) || hashedEngine.isPresent();
      double tokensToReadFirst = (unreadTokens + tokensToRead(request)) / speed;
      boolean pauses = tokensToReadFirst > MAX_TOKENS_WITHOUT_PAUSE;
      return tokensToReadFirst / READ_TOKENS_PER_MILLI
          + (sharedPartsRead || request.sharedTokens() == 0 ? 0 : REREAD_COST_MILLIS)
          + transferMillis(request)
          + inFlight * (IN_FLIGHT_COST_MILLIS / speed + (pauses ? STREAM_PAUSE_COST_MILLIS : 0))
          + OWN_COST_MILLIS * (1 / speed - 1);
    }

    private double transferMillis(EngineRequest request) {
      boolean crossDataCentre =
          request.preferredDataCentre().filter(p -> !p.equals(replica.dataCentre())).isPresent();
      return crossDataCentre ? request.inputBytes() * CROSS_DATA_CENTRE_MILLIS_PER_BYTE : 0;
    }

    private void addPromptKey(long key) {
      promptKeys.remove(key);
      promptKeys.put(key, true);
      if (promptKeys.size() > MAX_PROMPT_KEYS_PER_REPLICA) {
        promptKeys.remove(promptKeys.keySet().iterator().next());
      }
    }

    private boolean isHealthy(long now) {
      return !cooldown.isCoolingDown(now);
    }
  }
}
