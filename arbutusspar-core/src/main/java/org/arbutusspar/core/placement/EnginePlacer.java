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
 * Places the requests of all instances to the replicas of one model engine.
 *
 * <p>Load pattern: long prompts that arrive close together. A replica reads prompts in chunks
 * between the tokens of its running streams, so prompts that are read one right after the other
 * make a pause in all of them. Instances that place by themselves do not see each other's prompts;
 * one placer does, and spreads them. Shared prompt parts stay where they have been read unless
 * reading them again costs less than waiting.
 */
public final class EnginePlacer {

  /** Tokens that a replica may read without a pause that streams notice. */
  private static final long MAX_TOKENS_WITHOUT_PAUSE = 20_000;

  /** Time that a pause in one running stream counts for, in milliseconds. */
  private static final double STREAM_PAUSE_COST_MILLIS = 60;

  /** Tokens read in a millisecond, in the absence of a figure in the configuration. */
  private static final double READ_TOKENS_PER_MILLI = 80;

  /** What a second reading of shared parts counts for beyond its time, in milliseconds. */
  private static final double REREAD_COST_MILLIS = 40;

  /** What a byte of a result counts for that is read from another data centre. */
  private static final double CROSS_DATA_CENTRE_MILLIS_PER_BYTE = 9e-6;

  /** What each running request counts for, in milliseconds. */
  private static final double IN_FLIGHT_COST_MILLIS = 2;

  private static final double MAX_SLOT_SHARE = 0.9;
  private static final int MAX_PROMPT_KEYS_PER_REPLICA = 256;
  private static final long FIRST_COOLDOWN_MILLIS = 300;
  private static final int MAX_COOLDOWN_DOUBLINGS = 4;

  /** A request that has not been heard of for this long has ended unheard. */
  private static final long REQUEST_EXPIRY_MILLIS = 60_000;

  private final Map<String, EngineReplica> engines = new LinkedHashMap<>();
  private final Map<String, PlacedRequest> placed = new LinkedHashMap<>();

  private EnginePlacer() {}

  /** Returns a placer without replicas. */
  public static EnginePlacer create() {
    return new EnginePlacer();
  }

  /**
   * Replaces the replicas that requests may go to.
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
   * Places a request.
   *
   * @param request the request, not null
   * @param now current time
   * @return the replica, or empty if none has a place
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
    Optional<EngineReplica> best =
        candidates.stream()
            .filter(engine -> engine.inFlight < MAX_SLOT_SHARE * engine.replica.slots())
            .min(
                Comparator.comparingDouble(
                        (EngineReplica engine) ->
                            engine.costMillis(request, hashedEngine.filter(engine::equals)))
                    .thenComparingLong(engine -> hashRank(request, engine)));
    best.ifPresent(engine -> recordPlacement(request, engine, now));
    return best.map(engine -> engine.replica);
  }

  /**
   * Returns the engine that reads shared parts of which this placer knows nothing. It is the same
   * for each placer, so that one which has just taken over sends requests to where their parts have
   * probably been read.
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
    long unreadTokens = engine.tokensToRead(request);
    engine.inFlight++;
    engine.unreadTokens += unreadTokens;
    engine.addPromptKey(request.promptKey());
    placed.put(request.id(), new PlacedRequest(request.origin(), engine, unreadTokens, now));
  }

  /** Takes note that the answer to a request has begun: its prompt has been read. */
  public void onResponseStarted(String requestId) {
    PlacedRequest placedRequest = placed.get(requestId);
    if (placedRequest != null && !placedRequest.responseStarted) {
      placedRequest.responseStarted = true;
      placedRequest.engine.unreadTokens -= placedRequest.unreadTokens;
      placedRequest.engine.cooldown.succeeded();
    }
  }

  /**
   * Takes note that a request has ended.
   *
   * @param requestId identifier of the request, not null
   * @param responded whether its replica answered
   * @param now current time
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
      placedRequest.engine.onNoResponse(now);
    }
  }

  /** Takes note that an instance is gone, and its requests with it. */
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

  /** Returns the number of requests that have been placed and have not ended. */
  public int inFlight() {
    return placed.size();
  }

  /**
   * A request to be placed.
   *
   * @param id its identifier
   * @param origin instance that serves it
   * @param promptKey hash of the prompt parts that it shares with others, 0 if there are none
   * @param sharedTokens tokens of those parts
   * @param ownTokens tokens of the rest of its prompt
   * @param preferredDataCentre data centre in which most of the results that it reads lie, if any
   * @param inputBytes size of those results
   * @param excluded identifiers of replicas that it must not go to
   */
  public record EngineRequest(
      String id,
      String origin,
      long promptKey,
      long sharedTokens,
      long ownTokens,
      Optional<DataCentre> preferredDataCentre,
      long inputBytes,
      Collection<String> excluded) {

    /** Checks the components. */
    public EngineRequest {
      Objects.requireNonNull(id, "id");
      Objects.requireNonNull(origin, "origin");
      Objects.requireNonNull(preferredDataCentre, "near");
      Objects.requireNonNull(excluded, "excluded");
    }
  }

  /** A request that has been placed. */
  private static final class PlacedRequest {
    private final String origin;
    private final EngineReplica engine;
    private final long unreadTokens;
    private final long placedAt;
    private boolean responseStarted;

    private PlacedRequest(String origin, EngineReplica engine, long unreadTokens, long placedAt) {
      this.origin = origin;
      this.engine = engine;
      this.unreadTokens = unreadTokens;
      this.placedAt = placedAt;
    }
  }

  /** A replica as this placer sees it. */
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

    private double costMillis(EngineRequest request, Optional<EngineReplica> hashedEngine) {
      boolean sharedPartsRead = hasSharedParts(request) || hashedEngine.isPresent();
      long tokensToReadFirst = unreadTokens + tokensToRead(request);
      boolean pauses = tokensToReadFirst > MAX_TOKENS_WITHOUT_PAUSE;
      return tokensToReadFirst / READ_TOKENS_PER_MILLI
          + (sharedPartsRead || request.sharedTokens() == 0 ? 0 : REREAD_COST_MILLIS)
          + transferMillis(request)
          + inFlight * (IN_FLIGHT_COST_MILLIS + (pauses ? STREAM_PAUSE_COST_MILLIS : 0));
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

    private void onNoResponse(long now) {
      cooldown.failed(now);
      promptKeys.clear();
    }
  }
}
