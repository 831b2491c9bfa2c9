package org.arbutusspar.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.BoundedMaps;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.routing.WarmUp;

/**
 * Limits on the request rate that replicas state for all instances together, or have while they are
 * cold, and the permits for the requests within them.
 *
 * <p>Load pattern: a replica in need states a limit while everyone comes at once. If each instance
 * kept to the limit on its own, their sum would exceed it, and equal shares of a small limit would
 * be of use to nobody. So only the instance that chooses replicas for the requests of all others
 * gives permits, at the rate of the limit. While the network is partitioned, the part with most
 * instances uses the limit as a whole, and each other part its share; a part that is too small for
 * that gives no permits.
 *
 * <p>A stated limit holds until a response to a later request states none; {@link ColdReplicas}
 * tells which replicas are cold. A replica that has both limits needs a permit of each. Times are
 * monotonic, in nanoseconds. Not thread-safe.
 */
public final class ReplicaRateLimits implements SendPermits {

  private static final int MAX_REPLICAS = 8_192;

  /**
   * Least rate of permits for each replica in requests a second. Without any request, no response
   * could state the end of a limit of 0.
   */
  private static final double MIN_PER_SECOND = 0.05;

  /** Time in seconds for which unused permits are kept, besides one permit. */
  private static final double BURST_SECONDS = 0.5;

  /**
   * Share of all instances from which on the limit is used as a whole. The instances that are
   * missing then use no more than a third of it.
   */
  private static final double WHOLE_LIMIT_SHARE = 2.0 / 3;

  /** Share of all instances below which no permits are given; it bounds the number of parts. */
  private static final double MIN_SHARE = 1.0 / 5;

  /** Minimum interval of the announcements of changed limits of a replica to peers. */
  private static final long ANNOUNCEMENT_INTERVAL_NANOS = Nanos.ofMillis(100);

  /** Time for which the share of this instance is not determined again. */
  private static final long SHARE_LIFETIME_NANOS = Nanos.ofMillis(50);

  /** Tolerance for rounding errors when permits are counted. */
  private static final double EPSILON = 1e-9;

  private static final double NANOS_PER_SECOND = 1e9;

  private final DecisionShare decisionShare;
  private final ColdReplicas cold;
  private final ColdBound coldBound;
  private final Map<String, Limit> limits = BoundedMaps.droppingOldest(MAX_REPLICAS);

  /** Permits for cold replicas, by incarnation. */
  private final Map<String, Permits> coldPermits = BoundedMaps.droppingOldest(MAX_REPLICAS);

  private final Map<String, KnownShare> shares = new HashMap<>();

  private ReplicaRateLimits(DecisionShare decisionShare, ColdReplicas cold, ColdBound coldBound) {
    this.decisionShare = decisionShare;
    this.cold = cold;
    this.coldBound = coldBound;
  }

  /**
   * Returns an object that knows of no limit, for replicas that are never cold.
   *
   * @param decisionShare determines for whom this instance decides, not null
   * @return the object
   */
  public static ReplicaRateLimits create(DecisionShare decisionShare) {
    return create(decisionShare, ColdReplicas.create(), new ColdBound(1, 0));
  }

  /**
   * Returns an object that knows of no stated limit.
   *
   * @param decisionShare determines for whom this instance decides, not null
   * @param cold the replicas that are cold, not null
   * @param coldBound bound on the requests for a cold replica, not null
   * @return the object
   */
  public static ReplicaRateLimits create(
      DecisionShare decisionShare, ColdReplicas cold, ColdBound coldBound) {
    Objects.requireNonNull(decisionShare, "decisionShare");
    Objects.requireNonNull(cold, "cold");
    Objects.requireNonNull(coldBound, "coldBound");
    return new ReplicaRateLimits(decisionShare, cold, coldBound);
  }

  /**
   * Records that a replica has stated a limit in a response to this instance.
   *
   * @param replica the replica, not null
   * @param perSecond the limit in requests a second, not negative
   * @param now current time
   * @return whether the limit is to be announced to the peers
   */
  public boolean onStated(UpstreamReplica replica, double perSecond, long now) {
    Validate.isTrue(perSecond >= 0, "perSecond must not be negative");
    Limit limit = limits.computeIfAbsent(replica.incarnation(), name -> new Limit(now));
    limit.set(OptionalDouble.of(perSecond), now);
    return limit.takeAnnouncement(now);
  }

  /**
   * Records that a replica has stated no limit in a response to this instance.
   *
   * @param replica the replica, not null
   * @param sentAt time when the request was sent; a response to a request from before the last
   *     statement may be older than the statement
   * @param now current time
   * @return whether a limit has ended by it, which is to be announced to the peers
   */
  public boolean onNoneStated(UpstreamReplica replica, long sentAt, long now) {
    Limit limit = limits.get(replica.incarnation());
    if (limit == null || !limit.isInForce() || sentAt - limit.statedAt < 0) {
      return false;
    }
    limit.set(OptionalDouble.empty(), now);
    return limit.takeAnnouncement(now);
  }

  /**
   * Records what a peer has announced.
   *
   * @param stated the limit, or its end, not null
   * @return false if a statement that is as new is known
   */
  public boolean learn(StatedLimit stated) {
    Limit known = limits.get(stated.incarnation());
    if (known != null && stated.statedAt() - known.statedAt <= 0) {
      return false;
    }
    Limit limit =
        limits.computeIfAbsent(stated.incarnation(), name -> new Limit(stated.statedAt()));
    boolean changed = !limit.perSecond.equals(stated.perSecond());
    limit.set(stated.perSecond(), stated.statedAt());
    limit.announced = limit.perSecond;
    return changed;
  }

  /** Returns the stated limits that are in force. */
  public List<StatedLimit> inForce() {
    return limits.entrySet().stream()
        .filter(entry -> entry.getValue().isInForce())
        .map(entry -> entry.getValue().toStated(entry.getKey()))
        .toList();
  }

  /**
   * Returns the lowest limit of a replica that is in force.
   *
   * @param replica the replica, not null
   * @return the limit in requests a second, or empty if there is none
   */
  public OptionalDouble perSecond(UpstreamReplica replica) {
    if (isAllUnlimited()) {
      return OptionalDouble.empty();
    }
    Limit limit = limits.get(replica.incarnation());
    OptionalDouble stated = limit == null ? OptionalDouble.empty() : limit.perSecond;
    OptionalDouble whileCold = coldPerSecond(replica);
    if (stated.isEmpty() || whileCold.isEmpty()) {
      return stated.isEmpty() ? whileCold : stated;
    }
    return OptionalDouble.of(Math.min(stated.getAsDouble(), whileCold.getAsDouble()));
  }

  /** Returns the limit of a cold replica in requests a second, or empty if it is warm. */
  private OptionalDouble coldPerSecond(UpstreamReplica replica) {
    return cold.isCold(replica)
        ? OptionalDouble.of(coldBound.permitsPerSecond(cold.warmUp(replica).orElseThrow()))
        : OptionalDouble.empty();
  }

  /** Returns whether a replica has a limit that is in force. */
  public boolean isLimited(UpstreamReplica replica) {
    return perSecond(replica).isPresent();
  }

  /** Returns whether any of some replicas has a limit that is in force. */
  public boolean isAnyLimited(Collection<UpstreamReplica> replicas) {
    return !isAllUnlimited() && replicas.stream().anyMatch(this::isLimited);
  }

  private boolean isAllUnlimited() {
    return limits.isEmpty() && cold.count() == 0;
  }

  /**
   * Returns the sum of the limits of some replicas.
   *
   * @param replicas the replicas, not null
   * @return requests a second; empty if one of them has no limit, or there are none
   */
  public OptionalDouble totalPerSecond(Collection<UpstreamReplica> replicas) {
    boolean allLimited = !replicas.isEmpty() && replicas.stream().allMatch(this::isLimited);
    return allLimited
        ? OptionalDouble.of(replicas.stream().mapToDouble(r -> perSecond(r).orElseThrow()).sum())
        : OptionalDouble.empty();
  }

  @Override
  public boolean isAvailable(UpstreamReplica replica, long now) {
    OptionalLong wait = nanosUntilAvailable(replica, now);
    return wait.isPresent() && wait.getAsLong() == 0;
  }

  /**
   * Returns the time until there is a permit for a replica.
   *
   * @param replica the replica, not null
   * @param now current time
   * @return the time in nanoseconds; empty if this instance gives no permits for the replica
   */
  public OptionalLong nanosUntilAvailable(UpstreamReplica replica, long now) {
    if (!isLimited(replica)) {
      return OptionalLong.of(0);
    }
    double share = share(replica.service(), now);
    if (share < MIN_SHARE) {
      return OptionalLong.empty();
    }
    long nanos =
        refill(replica, share, now).stream()
            .mapToLong(Permits::nanosUntilAvailable)
            .max()
            .orElse(0);
    return OptionalLong.of(nanos);
  }

  @Override
  public void take(UpstreamReplica replica, long now) {
    if (isLimited(replica)) {
      refill(replica, share(replica.service(), now), now).forEach(Permits::take);
    }
  }

  /** Returns the permits of each limit of a replica, with those that are new until now. */
  private List<Permits> refill(UpstreamReplica replica, double share, long now) {
    List<Permits> refilled = new ArrayList<>();
    boolean whole = share >= WHOLE_LIMIT_SHARE;
    double usableShare = whole ? 1 : share;
    Limit limit = limits.get(replica.incarnation());
    if (limit != null && limit.isInForce()) {
      limit.permits.refill(usableShare * limit.rate(), whole ? limit.maxPermits() : 1, now);
      refilled.add(limit.permits);
    }
    if (cold.isCold(replica)) {
      Permits permits =
          coldPermits.computeIfAbsent(replica.incarnation(), name -> new Permits(1, now));
      WarmUp warmUp = cold.warmUp(replica).orElseThrow();
      permits.refill(
          usableShare * coldBound.permitsPerSecond(warmUp),
          whole ? coldBound.burst(warmUp) : 1,
          now);
      refilled.add(permits);
    }
    return refilled;
  }

  private double share(String service, long now) {
    KnownShare known = shares.get(service);
    if (known == null || now - known.determinedAt >= SHARE_LIFETIME_NANOS) {
      known = new KnownShare(decisionShare.share(service, now), now);
      shares.put(service, known);
    }
    return known.share;
  }

  /** Determines for which part of the deployment this instance chooses replicas. */
  @FunctionalInterface
  public interface DecisionShare {

    /**
     * Returns the share of all known instances for whose requests this instance chooses replicas.
     *
     * @param service name of the service of the replicas, not null
     * @param now current time
     * @return the share, from 0 to 1; 0 if another instance chooses
     */
    double share(String service, long now);
  }

  private record KnownShare(double share, long determinedAt) {}

  /** Unused permits for a replica, which get more at a rate. */
  private static final class Permits {
    private double permits;
    private double rate;
    private long refilledAt;

    private Permits(double permits, long now) {
      this.permits = permits;
      refilledAt = now;
    }

    private void refill(double newRate, double maxPermits, long now) {
      rate = newRate;
      double added = Math.max(0, now - refilledAt) / NANOS_PER_SECOND * rate;
      permits = Math.min(maxPermits, permits + added);
      refilledAt = now;
    }

    private long nanosUntilAvailable() {
      double missing = 1 - EPSILON - permits;
      return missing <= 0 ? 0 : (long) Math.ceil(missing / rate * NANOS_PER_SECOND);
    }

    private void take() {
      permits--;
    }
  }

  /** The limit that one replica has stated, or that it has ended, with its permits. */
  private static final class Limit {
    private OptionalDouble perSecond = OptionalDouble.empty();
    private long statedAt;
    private Permits permits;

    /** What the peers know of the limit. */
    private OptionalDouble announced = OptionalDouble.empty();

    private long announcedAt;

    private Limit(long now) {
      announcedAt = now - ANNOUNCEMENT_INTERVAL_NANOS;
      permits = new Permits(0, now);
    }

    private boolean isInForce() {
      return perSecond.isPresent();
    }

    private void set(OptionalDouble newPerSecond, long now) {
      if (perSecond.isEmpty()) {
        permits = new Permits(0, now);
      }
      perSecond = newPerSecond;
      statedAt = now;
    }

    /** Returns whether the limit is to be announced now, after which it counts as announced. */
    private boolean takeAnnouncement(long now) {
      boolean begunOrEnded = announced.isPresent() != perSecond.isPresent();
      boolean due = now - announcedAt >= ANNOUNCEMENT_INTERVAL_NANOS;
      if (announced.equals(perSecond) || !begunOrEnded && !due) {
        return false;
      }
      announced = perSecond;
      announcedAt = now;
      return true;
    }

    private double rate() {
      return Math.max(MIN_PER_SECOND, perSecond.orElseThrow());
    }

    private double maxPermits() {
      return 1 + BURST_SECONDS * perSecond.orElseThrow();
    }

    private StatedLimit toStated(String incarnation) {
      return new StatedLimit(incarnation, perSecond, statedAt);
    }
  }
}
