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
  private static final long SAFE_TOKENS = 20_000;

  /** Time that a pause in one running stream counts for, in milliseconds. */
  private static final double PAUSE_MILLIS = 60;

  /** Tokens read in a millisecond, in the absence of a figure in the configuration. */
  private static final double TOKENS_PER_MILLI = 80;

  /** What a second reading of shared parts counts for beyond its time, in milliseconds. */
  private static final double REREAD_MILLIS = 40;

  /** What a byte of a result counts for that is read from another data centre. */
  private static final double MILLIS_PER_BYTE = 9e-6;

  /** What each running request counts for, in milliseconds. */
  private static final double RUNNING_MILLIS = 2;

  private static final double FULL_SHARE = 0.9;
  private static final int MAX_KEYS_PER_REPLICA = 256;
  private static final long FIRST_REST_MILLIS = 300;
  private static final int MAX_REST_DOUBLINGS = 4;

  /** A request that has not been heard of for this long has ended unheard. */
  private static final long FORGET_MILLIS = 60_000;

  private final Map<String, Engine> engines = new LinkedHashMap<>();
  private final Map<String, Placed> placed = new LinkedHashMap<>();

  private EnginePlacer() {}

  /** Returns a placer without replicas. */
  public static EnginePlacer create() {
    return new EnginePlacer();
  }

  /**
   * Replaces the replicas that requests may go to.
   *
   * @param usable replicas that are listed and not leaving, not null
   */
  public void replicas(Collection<UpstreamReplica> usable) {
    Map<String, UpstreamReplica> fresh = new HashMap<>();
    usable.forEach(replica -> fresh.put(replica.id(), replica));
    engines.keySet().retainAll(fresh.keySet());
    fresh.forEach((id, r) -> engines.computeIfAbsent(id, i -> new Engine()).replica = r);
  }

  /**
   * Places a request.
   *
   * @param request the request, not null
   * @param now current time
   * @return the replica, or empty if none has a place
   */
  public Optional<UpstreamReplica> place(EngineRequest request, long now) {
    forget(now);
    onEnded(request.id(), true, now);
    boolean anyHealthy = engines.values().stream().anyMatch(e -> e.isHealthy(now));
    List<Engine> possible =
        engines.values().stream()
            .filter(engine -> !request.excluded().contains(engine.replica.id()))
            .filter(engine -> engine.isHealthy(now) || !anyHealthy)
            .toList();
    Optional<Engine> home = home(request, possible);
    Optional<Engine> best =
        possible.stream()
            .filter(engine -> engine.running < FULL_SHARE * engine.replica.slots())
            .min(
                Comparator.comparingDouble(
                        (Engine engine) -> engine.cost(request, home.filter(engine::equals)))
                    .thenComparingLong(engine -> rank(request, engine)));
    best.ifPresent(engine -> put(request, engine, now));
    return best.map(engine -> engine.replica);
  }

  /**
   * Returns the engine that reads shared parts of which this placer knows nothing. It is the same
   * for each placer, so that one which has just taken over sends requests to where their parts have
   * probably been read.
   */
  private static Optional<Engine> home(EngineRequest request, List<Engine> possible) {
    boolean known = possible.stream().anyMatch(engine -> engine.knows(request));
    return known
        ? Optional.empty()
        : possible.stream().min(Comparator.comparingLong(engine -> rank(request, engine)));
  }

  private static long rank(EngineRequest request, Engine engine) {
    return Rendezvous.hash(request.promptKey() + "/" + engine.replica.id());
  }

  private void put(EngineRequest request, Engine engine, long now) {
    long reading = engine.uncached(request);
    engine.running++;
    engine.reading += reading;
    engine.keep(request.promptKey());
    placed.put(request.id(), new Placed(request.origin(), engine, reading, now));
  }

  /** Takes note that the answer to a request has begun: its prompt has been read. */
  public void onResponseStarted(String requestId) {
    Placed request = placed.get(requestId);
    if (request != null && !request.begun) {
      request.begun = true;
      request.engine.reading -= request.reading;
      request.engine.cooldown.succeeded();
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
    Placed request = placed.remove(requestId);
    if (request == null) {
      return;
    }
    request.engine.running--;
    if (!request.begun) {
      request.engine.reading -= request.reading;
    }
    if (!responded) {
      request.engine.pause(now);
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

  private void forget(long now) {
    while (!placed.isEmpty()) {
      Map.Entry<String, Placed> oldest = placed.entrySet().iterator().next();
      if (now - oldest.getValue().placedAt < Nanos.ofMillis(FORGET_MILLIS)) {
        return;
      }
      onEnded(oldest.getKey(), true, now);
    }
  }

  /** Returns the number of requests that have been placed and have not ended. */
  public int running() {
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
  private static final class Placed {
    private final String origin;
    private final Engine engine;
    private final long reading;
    private final long placedAt;
    private boolean begun;

    private Placed(String origin, Engine engine, long reading, long placedAt) {
      this.origin = origin;
      this.engine = engine;
      this.reading = reading;
      this.placedAt = placedAt;
    }
  }

  /** A replica as this placer sees it. */
  private static final class Engine {
    private final LinkedHashMap<Long, Boolean> keys = new LinkedHashMap<>();
    private UpstreamReplica replica;
    private int running;
    private long reading;
    private final FailureCooldown cooldown =
        FailureCooldown.create(FIRST_REST_MILLIS, MAX_REST_DOUBLINGS);

    private long uncached(EngineRequest request) {
      boolean known = knows(request);
      return request.ownTokens() + (known ? 0 : request.sharedTokens());
    }

    private boolean knows(EngineRequest request) {
      return keys.containsKey(request.promptKey());
    }

    private double cost(EngineRequest request, Optional<Engine> home) {
      boolean known = knows(request) || home.isPresent();
      long block = reading + uncached(request);
      boolean pauses = block > SAFE_TOKENS;
      return block / TOKENS_PER_MILLI
          + (known || request.sharedTokens() == 0 ? 0 : REREAD_MILLIS)
          + crossing(request)
          + running * (RUNNING_MILLIS + (pauses ? PAUSE_MILLIS : 0));
    }

    private double crossing(EngineRequest request) {
      boolean far =
          request.preferredDataCentre().filter(p -> !p.equals(replica.dataCentre())).isPresent();
      return far ? request.inputBytes() * MILLIS_PER_BYTE : 0;
    }

    private void keep(long key) {
      keys.remove(key);
      keys.put(key, true);
      if (keys.size() > MAX_KEYS_PER_REPLICA) {
        keys.remove(keys.keySet().iterator().next());
      }
    }

    private boolean isHealthy(long now) {
      return !cooldown.isCoolingDown(now);
    }

    private void pause(long now) {
      cooldown.failed(now);
      keys.clear();
    }
  }
}
