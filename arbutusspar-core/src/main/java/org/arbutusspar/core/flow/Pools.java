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
 * The pools of all configured services. Polls the replicas that were not heard of lately, within a
 * fixed rate, so that the cost of polling does not grow with the deployment.
 */
final class Pools {

  private static final long POLL_AFTER_NANOS = Nanos.ofMillis(1_500);
  private static final double POLLS_PER_SECOND = 20;
  private static final double POLL_BURST = 128;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double PRIOR_TOKENS = 128;
  private static final double PRIOR_CHARS = 200;
  private static final double PRIOR_CANDIDATES = 20;

  private final InstanceId self;
  private final Policy policy;
  private final UniformRandomProvider random;
  private final PrefixHints hints;
  private final Map<ObjectName, Pool> pools = new LinkedHashMap<>();
  private final Map<ReplicaId, Long> polledNanos = new HashMap<>();
  private List<ListedReplica> listed = List.of();
  private int liveInstances = 1;
  private double pollTokens = POLL_BURST;
  private long refilledNanos;

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
      if (pool == null || changesModel(pool.service(), service)) {
        pools.put(service.name(), newPool(service));
      } else {
        pool.onConfigured(service);
      }
    }
    assign();
  }

  void onListed(List<ListedReplica> replicas) {
    listed = replicas;
    assign();
  }

  void onPeers(int live) {
    liveInstances = live;
  }

  /** Returns the replicas to poll now: in turn from the pool of which least is fresh. */
  List<Replica> due(long now) {
    refill(now);
    List<Replica> due = new ArrayList<>();
    while (pollTokens >= 1) {
      Optional<Replica> next = mostNeeded(now);
      if (next.isEmpty()) {
        break;
      }
      polledNanos.put(next.get().listed().id(), now);
      due.add(next.get());
      pollTokens--;
    }
    return due;
  }

  private Optional<Replica> mostNeeded(long now) {
    Optional<Replica> most = Optional.empty();
    double least = Double.MAX_VALUE;
    for (Pool pool : pools.values()) {
      double fresh = freshShare(pool, now);
      if (fresh < least) {
        Optional<Replica> stalest = stalest(pool, now);
        if (stalest.isPresent()) {
          least = fresh;
          most = stalest;
        }
      }
    }
    return most;
  }

  /** Returns the share of a pool that was heard or polled lately. */
  private double freshShare(Pool pool, long now) {
    int fresh = 0;
    for (Replica replica : pool.replicas()) {
      fresh += isDue(replica, now) ? 0 : 1;
    }
    return fresh / (double) Math.max(1, pool.replicas().size());
  }

  private boolean isDue(Replica replica, long now) {
    return replica.reportAge(now) > POLL_AFTER_NANOS && !isPolledLately(replica, now);
  }

  private void refill(long now) {
    double seconds = refilledNanos == 0 ? 0 : (now - refilledNanos) / NANOS_PER_SECOND;
    pollTokens = Math.min(POLL_BURST, pollTokens + seconds * POLLS_PER_SECOND);
    refilledNanos = now;
  }

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

  private boolean isPolledLately(Replica replica, long now) {
    Long polled = polledNanos.get(replica.listed().id());
    return polled != null && now - polled < POLL_AFTER_NANOS;
  }

  private Pool newPool(Service service) {
    return Pool.create(
        service,
        LinearCostModel.create(service.cost(), priorUnits(service)),
        policy.newBudget(),
        policy.newChooser(random, hints));
  }

  private static boolean changesModel(Service before, Service after) {
    return before.kind() != after.kind()
        || !before.cost().equals(after.cost())
        || before.concurrency() != after.concurrency();
  }

  private static double priorUnits(Service service) {
    return switch (service.kind()) {
      case ENCODE -> PRIOR_CHARS;
      case RETRIEVE -> Math.max(1, service.catalogueSize());
      case RERANK -> PRIOR_CANDIDATES;
      case GENERATE -> PRIOR_TOKENS;
      case PLAIN -> 1;
    };
  }

  private void assign() {
    Map<ObjectName, List<ListedReplica>> byService = new HashMap<>();
    for (ListedReplica each : listed) {
      byService.computeIfAbsent(each.service(), s -> new ArrayList<>()).add(each);
    }
    for (Pool pool : pools.values()) {
      List<ListedReplica> all = byService.getOrDefault(pool.service().name(), List.of());
      List<ListedReplica> subset =
          Rendezvous.top(all, r -> r.id().value(), self.value(), Pool.MAX_REPLICAS);
      pool.onListed(subset, service -> policy.newLimit(service, liveInstances));
    }
    polledNanos
        .keySet()
        .removeIf(id -> pools.values().stream().noneMatch(p -> p.find(id).isPresent()));
  }

  /** Returns whether a service's replicas keep a prompt cache. */
  static boolean isCached(Service service) {
    return service.kind() == StageKind.GENERATE;
  }
}
