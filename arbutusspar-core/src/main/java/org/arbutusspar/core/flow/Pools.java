package org.arbutusspar.core.flow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.arbutusspar.core.Nanos;
import org.arbutusspar.core.balancing.LinearCostModel;
import org.arbutusspar.core.balancing.ListedReplica;
import org.arbutusspar.core.balancing.Pool;
import org.arbutusspar.core.balancing.PrefixHints;
import org.arbutusspar.core.balancing.Rendezvous;
import org.arbutusspar.core.balancing.Replica;
import org.arbutusspar.core.config.ConfigIndex;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.config.StageKind;
import org.arbutusspar.core.id.InstanceId;
import org.arbutusspar.core.id.ObjectName;
import org.arbutusspar.core.id.ReplicaId;

/**
 * The replica pools of all configured services. Also selects the replicas to poll: those without a
 * recent load report, at a fixed maximum rate, so that the cost of polling does not grow with the
 * size of the deployment.
 */
final class Pools {

  /** A replica is polled when its last load report and its last poll are both older than this. */
  private static final long POLL_AGE_NANOS = Nanos.ofMillis(1_500);

  private static final double POLLS_PER_SECOND = 20;

  /** Maximum number of polls in a burst: the size of the token bucket that limits the rate. */
  private static final double MAX_POLL_TOKENS = 128;

  private static final double NANOS_PER_SECOND = 1e9;

  // Call sizes to which the configured cost priors of services refer, by stage kind.
  private static final double PRIOR_GENERATE_TOKENS = 128;
  private static final double PRIOR_ENCODE_CHARS = 200;
  private static final double PRIOR_RERANK_DOCUMENTS = 20;

  private final InstanceId self;
  private final Policy policy;
  private final UniformRandomProvider random;
  private final PrefixHints hints;
  private final Map<ObjectName, Pool> pools = new LinkedHashMap<>();
  private final Map<ReplicaId, Long> lastPollNanos = new HashMap<>();
  private List<ListedReplica> listedReplicas = List.of();
  private int liveInstances = 1;
  private double pollTokens = MAX_POLL_TOKENS;
  private long lastRefillNanos;

  private Pools(InstanceId self, Policy policy, UniformRandomProvider random, PrefixHints hints) {
    this.self = self;
    this.policy = policy;
    this.random = random;
    this.hints = hints;
  }

  static Pools create(
      InstanceId self, Policy policy, UniformRandomProvider random, PrefixHints hints) {
    return new Pools(self, policy, random, hints);
  }

  Optional<Pool> find(ObjectName service) {
    return Optional.ofNullable(pools.get(service));
  }

  Collection<Pool> all() {
    return pools.values();
  }

  void onConfigured(ConfigIndex index) {
    pools.keySet().removeIf(name -> index.service(name).isEmpty());
    for (Service service : index.services().values()) {
      Pool pool = pools.get(service.name());
      if (pool == null || needsNewCostModel(pool.service(), service)) {
        pools.put(service.name(), newPool(service));
      } else {
        pool.onConfigured(service);
      }
    }
    assignReplicas();
  }

  void onListed(List<ListedReplica> replicas) {
    listedReplicas = replicas;
    assignReplicas();
  }

  void onPeers(int liveInstanceCount) {
    liveInstances = liveInstanceCount;
  }

  /**
   * Returns the replicas to poll now and records that they are polled. Each one is taken from the
   * pool with the lowest share of up-to-date replicas, so that no service is neglected.
   */
  List<Replica> takeDuePolls(long now) {
    refillPollTokens(now);
    List<Replica> due = new ArrayList<>();
    while (pollTokens >= 1) {
      Optional<Replica> next = nextToPoll(now);
      if (next.isEmpty()) {
        break;
      }
      lastPollNanos.put(next.get().listed().id(), now);
      due.add(next.get());
      pollTokens--;
    }
    return due;
  }

  private Optional<Replica> nextToPoll(long now) {
    Optional<Replica> replica = Optional.empty();
    double leastShare = Double.MAX_VALUE;
    for (Pool pool : pools.values()) {
      double share = upToDateShare(pool, now);
      if (share < leastShare) {
        Optional<Replica> stalest = stalest(pool, now);
        if (stalest.isPresent()) {
          leastShare = share;
          replica = stalest;
        }
      }
    }
    return replica;
  }

  /** Returns the share of a pool's replicas, 0 to 1, that are not due for a poll. */
  private double upToDateShare(Pool pool, long now) {
    int upToDate = 0;
    for (Replica replica : pool.replicas()) {
      upToDate += isDue(replica, now) ? 0 : 1;
    }
    return upToDate / (double) Math.max(1, pool.replicas().size());
  }

  private boolean isDue(Replica replica, long now) {
    return replica.reportAge(now) > POLL_AGE_NANOS && !isPolledRecently(replica, now);
  }

  private void refillPollTokens(long now) {
    double seconds = lastRefillNanos == 0 ? 0 : (now - lastRefillNanos) / NANOS_PER_SECOND;
    pollTokens = Math.min(MAX_POLL_TOKENS, pollTokens + seconds * POLLS_PER_SECOND);
    lastRefillNanos = now;
  }

  /** Returns the replica with the oldest load report among those that are due, or empty. */
  private Optional<Replica> stalest(Pool pool, long now) {
    Replica stalest = null;
    for (Replica replica : pool.replicas()) {
      if (isDue(replica, now)
          && (stalest == null || replica.reportAge(now) > stalest.reportAge(now))) {
        stalest = replica;
      }
    }
    return Optional.ofNullable(stalest);
  }

  private boolean isPolledRecently(Replica replica, long now) {
    Long polled = lastPollNanos.get(replica.listed().id());
    return polled != null && now - polled < POLL_AGE_NANOS;
  }

  private Pool newPool(Service service) {
    return Pool.create(
        service,
        LinearCostModel.create(service.cost(), priorUnits(service)),
        policy.newBudget(),
        policy.newChooser(random, hints));
  }

  private static boolean needsNewCostModel(Service before, Service after) {
    return before.kind() != after.kind()
        || !before.cost().equals(after.cost())
        || before.concurrency() != after.concurrency();
  }

  private static double priorUnits(Service service) {
    return switch (service.kind()) {
      case ENCODE -> PRIOR_ENCODE_CHARS;
      case RETRIEVE -> Math.max(1, service.catalogueSize());
      case RERANK -> PRIOR_RERANK_DOCUMENTS;
      case GENERATE -> PRIOR_GENERATE_TOKENS;
      case PLAIN -> 1;
    };
  }

  /**
   * Assigns listed replicas to pools. If a service has more than {@link Pool#MAX_REPLICAS}, this
   * instance uses the subset that rendezvous hashing gives it.
   */
  private void assignReplicas() {
    Map<ObjectName, List<ListedReplica>> byService = new HashMap<>();
    for (ListedReplica each : listedReplicas) {
      byService.computeIfAbsent(each.service(), s -> new ArrayList<>()).add(each);
    }
    for (Pool pool : pools.values()) {
      List<ListedReplica> all = byService.getOrDefault(pool.service().name(), List.of());
      List<ListedReplica> subset =
          Rendezvous.top(all, r -> r.id().value(), self.value(), Pool.MAX_REPLICAS);
      pool.onListed(subset, service -> policy.newLimit(service, liveInstances));
    }
    lastPollNanos
        .keySet()
        .removeIf(id -> pools.values().stream().noneMatch(p -> p.find(id).isPresent()));
  }

  /** Returns whether the replicas of a service have a prompt cache. */
  static boolean hasPromptCache(Service service) {
    return service.kind() == StageKind.GENERATE;
  }
}
