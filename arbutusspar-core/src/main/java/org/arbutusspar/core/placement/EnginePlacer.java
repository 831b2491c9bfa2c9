package org.arbutusspar.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
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
public final class EnginePlacer {

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

  /** Share of its slots up to which a replica gets requests. */
  private static final double MAX_SLOT_SHARE = 0.9;

  /** Number of recent prompt keys whose parts a replica is assumed to have in its cache. */
  private static final int MAX_PROMPT_KEYS_PER_REPLICA = 256;

  /** Expected time to the start of a response besides the time of reading, in milliseconds. */
  private static final double MIN_EXPECTED_MILLIS = 100;

  private static final long FIRST_COOLDOWN_MILLIS = 300;
  private static final int MAX_COOLDOWN_DOUBLINGS = 4;

  /** Time after which a request without a report of its end counts as ended, in milliseconds. */
  private static final long REQUEST_EXPIRY_MILLIS = 60_000;

  private final Map<String, EngineReplica> engines = new LinkedHashMap<>();
  private final Map<String, PlacedRequest> placed = new LinkedHashMap<>();

  private final SendPermits permits;
  private final ReplicaPace pace;
  private final ReplicaSpeeds speeds;

  private EnginePlacer(SendPermits permits, ReplicaPace pace, ReplicaSpeeds speeds) {
    this.permits = permits;
    this.pace = pace;
    this.speeds = speeds;
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
   * Returns a placer without replicas.
   *
   * @param permits permits of which one is taken for each placed request, not null
   * @param pace pace of replicas that start or recover, not null
   * @param speeds speeds of the replicas, by which expected times are divided, not null
   * @return the placer
   */
  public static EnginePlacer create(SendPermits permits, ReplicaPace pace, ReplicaSpeeds speeds) {
    return new EnginePlacer(
        Objects.requireNonNull(permits, "permits"),
        Objects.requireNonNull(pace, "pace"),
        Objects.requireNonNull(speeds, "speeds"));
  }

  /**
   * Replaces the replicas that may be chosen.
   *
   * @param available replicas that are listed and not leaving, not null
   */
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
            .filter(engine -> engine.inFlight < MAX_SLOT_SHARE * engine.replica.slots())
            .filter(engine -> engine.inFlight < pace.maxLimit(engine.replica, now))
            .filter(engine -> permits.isAvailable(engine.replica, now))
            .toList();
    Optional<EngineReplica> best =
        preferWithinPace(withRoom, request.repeatable(), now).stream()
            .min(
                Comparator.comparingDouble(
                        (EngineReplica engine) ->
                            engine.costMillis(
                                request,
                                hashedEngine.filter(engine::equals),
                                speeds.relativeSpeed(engine.replica, now)))
                    .thenComparingLong(engine -> hashRank(request, engine)));
    best.ifPresent(engine -> recordPlacement(request, engine, now));
    return best.map(engine -> engine.replica);
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
    engine.addPromptKey(request.promptKey());
    placed.put(
        request.id(),
        new PlacedRequest(request.origin(), engine, unreadTokens, engine.unreadTokens, now));
  }

  /**
   * Returns the work that a placed request waits for before its response starts.
   *
   * @param requestId identifier of the request, not null
   * @return the work, or empty if the request is not in flight or its response has started
   */
  public Optional<FirstEventWork> workBeforeResponse(String requestId) {
    return Optional.ofNullable(placed.get(requestId))
        .filter(request -> !request.responseStarted)
        .map(
            request ->
                new FirstEventWork(
                    request.engine.replica,
                    FIRST_EVENT_MILLIS + request.tokensToReadFirst / READ_TOKENS_PER_MILLI));
  }

  /**
   * Records that the response to a request has started, which means that its prompt is read.
   *
   * @param requestId identifier of the request, not null
   * @param now current monotonic time, in nanoseconds
   */
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
   * Records that a request has ended. A request that is not in flight is ignored.
   *
   * @param requestId identifier of the request, not null
   * @param responded whether its replica responded; if not, a cooldown of the replica starts and
   *     its cache is assumed to be empty
   * @param now current monotonic time, in nanoseconds
   */
  public void onEnded(String requestId, boolean responded, long now) {
    PlacedRequest placedRequest = placed.remove(requestId);
    if (placedRequest == null) {
      return;
    }
    placedRequest.engine.inFlight--;
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
   * @param repeatable whether it may test a replica that has failed lately
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
      boolean repeatable) {

    /** Checks the components. */
    public EngineRequest {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(origin, "origin");
      sharedParts = List.copyOf(sharedParts);
      Objects.requireNonNull(preferredDataCentre, "preferredDataCentre");
      Objects.requireNonNull(excluded, "excluded");
    }

    /** Creates a request that may test a replica; see the components of this record. */
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
          true);
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

    /** Tokens of all prompts that the replica reads before the response starts. */
    private final long tokensToReadFirst;

    private final long placedAt;
    private boolean responseStarted;

    private PlacedRequest(
        String origin,
        EngineReplica engine,
        long unreadTokens,
        long tokensToReadFirst,
        long placedAt) {
      this.origin = origin;
      this.engine = engine;
      this.unreadTokens = unreadTokens;
      this.tokensToReadFirst = tokensToReadFirst;
      this.placedAt = placedAt;
    }
  }

  /** State of a replica: its requests in flight, unread prompt tokens, prompt keys and health. */
  private static final class EngineReplica {
    private final LinkedHashMap<Long, Boolean> promptKeys = new LinkedHashMap<>();
    private UpstreamReplica replica;
    private int inFlight;
    private long unreadTokens;
    private final FailureCooldown cooldown =
        FailureCooldown.create(FIRST_COOLDOWN_MILLIS, MAX_COOLDOWN_DOUBLINGS);

    private long tokensToRead(EngineRequest request) {
      boolean sharedPartsRead = hasSharedParts(request);
      return request.ownTokens() + (sharedPartsRead ? 0 : request.sharedTokens());
    }

    private boolean hasSharedParts(EngineRequest request) {
      return promptKeys.containsKey(request.promptKey());
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
