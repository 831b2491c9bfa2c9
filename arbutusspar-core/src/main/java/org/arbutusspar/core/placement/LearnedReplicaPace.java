package org.arbutusspar.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.BoundedMaps;
import org.arbutusspar.core.Nanos;

/**
 * Pace of replicas that start or recover, learned from how they respond.
 *
 * <p>Load pattern: a replica joins, or returns after a crash, while the others are busy. It is
 * empty, so it is the best choice for each request, and gets a burst of them before its first
 * response shows whether it is sound and fast. Here it starts with a few requests in flight. The
 * limit grows by one with each response in time, so it doubles in the time of a response, and is
 * halved by slow responses and failures. A replica that has failed is tested by one request at a
 * time, after a cooldown, until it responds. One that fails again and again grows more slowly each
 * time. Tests are a small share of the requests of the service, since each that finds a replica
 * that still fails costs a retry.
 *
 * <p>The limit orders replicas and rejects nothing: it may be exceeded while no other replica has
 * room. Only a replica that is to be tested stays at its limit, and only while at most half of the
 * capacity of its service is to be tested.
 *
 * <p>Not thread-safe.
 */
public final class LearnedReplicaPace implements ReplicaPace {

  private static final int MAX_REPLICAS = 8_192;

  /** Share of its slots up to which a replica gets requests at the start. */
  private static final double START_SHARE = 1.0 / 16;

  /** Number of requests in flight that test a replica which has failed. */
  private static final int TEST_LIMIT = 1;

  /** Number of requests of a service for each that tests one of its replicas. */
  private static final int REQUESTS_PER_TEST = 10;

  /** Time after which a replica may be tested although the service gets few requests. */
  private static final long MAX_TEST_INTERVAL_NANOS = Nanos.ofMillis(1_000);

  private static final long FIRST_COOLDOWN_MILLIS = 300;
  private static final int MAX_COOLDOWN_DOUBLINGS = 2;

  /** A response is slow if it takes this many times as long as usual for the service. */
  private static final double SLOW_FACTOR = 3;

  /** Weight of the newest response in the usual time of a service. */
  private static final double SMOOTHING = 0.05;

  /** Number of responses from which on the usual time of a service is known. */
  private static final int MIN_RESPONSES = 10;

  /**
   * Time after the first list of replicas for which replicas that appear are not taken for new ones
   * but for ones that were not listed yet.
   */
  private static final long FIRST_LIST_NANOS = Nanos.ofMillis(3_000);

  /** Time after which a replica without a slow response or a failure is no longer paced. */
  private static final long MAX_PACED_NANOS = Nanos.ofMillis(10_000);

  /** Time after a failure for which a replica is tested if it gets no requests. */
  private static final long MAX_DOUBT_NANOS = Nanos.ofMillis(5_000);

  /** Time for which the failures of a replica slow down its later starts. */
  private static final long FALL_MEMORY_NANOS = Nanos.ofMillis(30_000);

  private static final int MAX_FALLS = 4;

  private final Predicate<String> isPaced;
  private final Listener listener;

  /** Incarnations that have been listed. */
  private final Map<String, Boolean> known = BoundedMaps.droppingOldest(MAX_REPLICAS);

  /** The replicas that are paced, by incarnation. */
  private final Map<String, PacedReplica> paced = BoundedMaps.droppingOldest(MAX_REPLICAS);

  /** Recent falls by place, since a replica mostly returns as another incarnation. */
  private final Map<String, Falls> falls = BoundedMaps.droppingOldest(MAX_REPLICAS);

  private final Map<String, UsualTime> usualTimes = new HashMap<>();
  private final Map<String, TestShare> testShares = new HashMap<>();
  private Map<String, Integer> listedSlots = Map.of();
  private long firstListedAt;

  private LearnedReplicaPace(Predicate<String> isPaced, Listener listener) {
    this.isPaced = isPaced;
    this.listener = listener;
  }

  /**
   * Returns a pace that knows no replicas.
   *
   * @param isPaced whether the replicas of a service, given by its name, are paced, not null
   * @param listener receives the changes, not null
   * @return the pace
   */
  public static LearnedReplicaPace create(Predicate<String> isPaced, Listener listener) {
    return new LearnedReplicaPace(
        Objects.requireNonNull(isPaced, "isPaced"), Objects.requireNonNull(listener, "listener"));
  }

  /**
   * Records the list of replicas. Those that were not listed before have just started, unless this
   * instance has.
   *
   * @param listed the replicas of all services that are not leaving, not null
   * @param now current time
   */
  public void onListed(Collection<UpstreamReplica> listed, long now) {
    if (listed.isEmpty()) {
      return;
    }
    if (known.isEmpty()) {
      firstListedAt = now;
    }
    boolean mayHaveStarted = now - firstListedAt >= FIRST_LIST_NANOS;
    for (UpstreamReplica replica : listed) {
      boolean isNew = known.remove(replica.incarnation()) == null;
      known.put(replica.incarnation(), true);
      if (isNew && mayHaveStarted && isPaced.test(replica.service())) {
        begin(replica, now);
      }
    }
    Set<String> incarnations =
        listed.stream().map(UpstreamReplica::incarnation).collect(Collectors.toSet());
    paced.keySet().retainAll(incarnations);
    listedSlots =
        listed.stream()
            .collect(
                Collectors.groupingBy(
                    UpstreamReplica::service, Collectors.summingInt(LearnedReplicaPace::slots)));
  }

  private void begin(UpstreamReplica replica, long now) {
    PacedReplica started = new PacedReplica(replica, startLimit(replica), now);
    if (started.limit < slots(replica)) {
      paced.put(replica.incarnation(), started);
    }
  }

  private static int slots(UpstreamReplica replica) {
    return Math.max(1, replica.slots());
  }

  private static double startLimit(UpstreamReplica replica) {
    return Math.max(1, START_SHARE * slots(replica));
  }

  @Override
  public int limit(UpstreamReplica replica, long now) {
    PacedReplica found = find(replica, now);
    if (found == null) {
      return UNLIMITED;
    }
    return found.isDoubtful(now) ? testLimit(found, now) : (int) found.limit;
  }

  private int testLimit(PacedReplica tested, long now) {
    boolean isDue = !tested.cooldown.isCoolingDown(now) && testShare(tested.replica).permits(now);
    return isDue ? TEST_LIMIT : 0;
  }

  private TestShare testShare(UpstreamReplica replica) {
    return testShares.computeIfAbsent(replica.service(), name -> new TestShare());
  }

  @Override
  public int maxLimit(UpstreamReplica replica, long now) {
    return isDoubtful(replica, now) && !isMostlyDoubtful(replica.service(), now)
        ? testLimit(find(replica, now), now)
        : UNLIMITED;
  }

  @Override
  public boolean isDoubtful(UpstreamReplica replica, long now) {
    PacedReplica found = find(replica, now);
    return found != null && found.isDoubtful(now);
  }

  /** Returns whether more than half of the capacity of a service is to be tested. */
  private boolean isMostlyDoubtful(String service, long now) {
    int doubtfulSlots =
        paced.values().stream()
            .filter(each -> each.replica.service().equals(service) && each.isDoubtful(now))
            .mapToInt(each -> slots(each.replica))
            .sum();
    return 2 * doubtfulSlots > listedSlots.getOrDefault(service, 0);
  }

  /** Returns a replica if it is paced, else null. */
  private PacedReplica find(UpstreamReplica replica, long now) {
    if (paced.isEmpty()) {
      return null;
    }
    PacedReplica found = paced.get(replica.incarnation());
    if (found != null && now - found.troubleAt >= MAX_PACED_NANOS) {
      establish(found);
      return null;
    }
    return found;
  }

  private void establish(PacedReplica established) {
    paced.remove(established.replica.incarnation());
    if (established.reported) {
      listener.onChange(established.replica, Change.ESTABLISHED, slots(established.replica));
    }
  }

  @Override
  public void onChosen(UpstreamReplica replica, long now) {
    if (!paced.isEmpty() && isPaced.test(replica.service())) {
      PacedReplica chosen = find(replica, now);
      reportBegun(chosen);
      testShare(replica).onChosen(chosen != null && chosen.isDoubtful(now), now);
    }
  }

  private void reportBegun(PacedReplica chosen) {
    if (chosen != null && !chosen.reported) {
      chosen.reported = true;
      listener.onChange(chosen.replica, Change.BEGUN, (int) chosen.limit);
    }
  }

  @Override
  public void onResponse(
      UpstreamReplica replica, double elapsedMillis, double expectedMillis, long now) {
    Validate.isTrue(expectedMillis > 0, "expectedMillis must be positive");
    if (!isPaced.test(replica.service())) {
      return;
    }
    UsualTime usual = usualTimes.computeIfAbsent(replica.service(), name -> new UsualTime());
    double relativeTime = elapsedMillis / expectedMillis;
    PacedReplica responding = find(replica, now);
    if (responding == null) {
      usual.add(relativeTime);
      return;
    }
    responding.onSound();
    if (usual.isKnown() && relativeTime > SLOW_FACTOR * usual.mean) {
      responding.onSlow(now - Nanos.ofMillis((long) elapsedMillis), now);
      return;
    }
    responding.limit += 1.0 / Math.max(1, recentFalls(replica, now));
    if (responding.limit >= slots(replica)) {
      establish(responding);
    }
  }

  /** Returns the service and endpoint; other services may use the endpoint later. */
  private static String place(UpstreamReplica replica) {
    return replica.service() + "@" + replica.endpoint();
  }

  private int recentFalls(UpstreamReplica replica, long now) {
    Falls recent = falls.get(place(replica));
    return recent == null || now - recent.lastAt >= FALL_MEMORY_NANOS ? 0 : recent.count;
  }

  @Override
  public boolean onFailure(UpstreamReplica replica, long sentAt, long now) {
    if (!isPaced.test(replica.service())) {
      return false;
    }
    PacedReplica failing = find(replica, now);
    if (failing == null) {
      failing = new PacedReplica(replica, slots(replica), now);
      paced.put(replica.incarnation(), failing);
    }
    boolean isFall = !failing.isDoubtful(now);
    failing.onFailure(sentAt, now);
    if (isFall) {
      int count = Math.min(MAX_FALLS, recentFalls(replica, now) + 1);
      falls.put(place(replica), new Falls(count, now));
      failing.reported = true;
      listener.onChange(replica, Change.FELL_BACK, (int) failing.limit);
    }
    return true;
  }

  /**
   * Returns the number of replicas that are paced.
   *
   * @param now current time
   * @return the number by name of the service; services without such replicas are absent
   */
  public Map<String, Integer> countByService(long now) {
    Map<String, Integer> counts = new HashMap<>();
    paced.values().stream()
        .filter(each -> now - each.troubleAt < MAX_PACED_NANOS)
        .forEach(each -> counts.merge(each.replica.service(), 1, Integer::sum));
    return counts;
  }

  /** How the pace of a replica has changed. */
  public enum Change {
    /** The replica has just started, and gets its first request. */
    BEGUN,
    /** The replica has reached its slots, or has been sound for long enough. */
    ESTABLISHED,
    /** The replica has failed. */
    FELL_BACK
  }

  /** Receives the changes of the pace of replicas. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Called when the pace of a replica has changed.
     *
     * @param replica the replica
     * @param change what has happened
     * @param limit number of requests in flight up to which it is chosen, once it has been tested
     */
    void onChange(UpstreamReplica replica, Change change, int limit);
  }

  private record Falls(int count, long lastAt) {}

  /** Smoothed ratio of the time of responses to their expected time. */
  private static final class UsualTime {
    private int responses;
    private double mean;

    private void add(double relativeTime) {
      responses++;
      mean += Math.max(SMOOTHING, 1.0 / responses) * (relativeTime - mean);
    }

    private boolean isKnown() {
      return responses >= MIN_RESPONSES;
    }
  }

  /** Share of the requests of a service that test its replicas. */
  private static final class TestShare {
    private int requestsSinceTest = REQUESTS_PER_TEST;
    private long testedAt;

    private boolean permits(long now) {
      return requestsSinceTest >= REQUESTS_PER_TEST || now - testedAt >= MAX_TEST_INTERVAL_NANOS;
    }

    private void onChosen(boolean isTest, long now) {
      requestsSinceTest = isTest ? 0 : requestsSinceTest + 1;
      testedAt = isTest ? now : testedAt;
    }
  }

  /** State of a replica that is paced. Times are monotonic, in nanoseconds. */
  private static final class PacedReplica {
    private final UpstreamReplica replica;
    private final FailureCooldown cooldown =
        FailureCooldown.create(FIRST_COOLDOWN_MILLIS, MAX_COOLDOWN_DOUBLINGS);
    private double limit;

    /** Last start, failure or slow response. */
    private long troubleAt;

    private long reducedAt;

    /** Whether the listener knows that it is paced. */
    private boolean reported;

    /** Whether it has responded since its last failure; true if it has not failed. */
    private boolean tested = true;

    private PacedReplica(UpstreamReplica replica, double limit, long now) {
      this.replica = replica;
      this.limit = limit;
      this.troubleAt = now;
      this.reducedAt = now;
    }

    private boolean isDoubtful(long now) {
      return !tested && now - troubleAt < MAX_DOUBT_NANOS;
    }

    private void onSound() {
      tested = true;
      cooldown.succeeded();
    }

    /** Halves the limit, unless the request was sent before it was halved last. */
    private void onSlow(long sentAt, long now) {
      troubleAt = now;
      if (sentAt - reducedAt >= 0) {
        halve(now);
      }
    }

    /** A request that was in flight when the replica failed last does not prolong the cooldown. */
    private void onFailure(long sentAt, long now) {
      if (tested || sentAt - troubleAt >= 0) {
        cooldown.failed(now);
      }
      tested = false;
      troubleAt = now;
      halve(now);
    }

    private void halve(long now) {
      limit = Math.max(startLimit(replica), limit / 2);
      reducedAt = now;
    }
  }
}
