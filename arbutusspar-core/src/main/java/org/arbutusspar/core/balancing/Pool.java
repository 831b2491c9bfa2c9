package org.arbutusspar.core.balancing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.arbutusspar.core.config.Service;
import org.arbutusspar.core.id.ReplicaId;

/**
 * The replicas of one service that this instance uses, with the cost model and the retry budget of
 * the service. Modified by the decision thread only.
 */
public final class Pool {

  /** Maximum number of replicas of one service that an instance uses, however many are listed. */
  public static final int MAX_REPLICAS = 64;

  private final CostModel costModel;
  private final RetryBudget retryBudget;
  private final ReplicaChooser chooser;
  private final Map<ReplicaId, Replica> byId = new LinkedHashMap<>();
  private List<Replica> replicas = List.of();
  private Service service;

  private Pool(
      Service service, CostModel costModel, RetryBudget retryBudget, ReplicaChooser chooser) {
    this.service = service;
    this.costModel = costModel;
    this.retryBudget = retryBudget;
    this.chooser = chooser;
  }

  /**
   * Returns a pool without replicas.
   *
   * @param service the service, not null
   * @param costModel cost model of the service, not null
   * @param retryBudget budget of the service for retries and hedges, not null
   * @param chooser selects the replica for each call, not null
   * @return the pool
   */
  public static Pool create(
      Service service, CostModel costModel, RetryBudget retryBudget, ReplicaChooser chooser) {
    return new Pool(
        Objects.requireNonNull(service, "service"),
        Objects.requireNonNull(costModel, "costModel"),
        Objects.requireNonNull(retryBudget, "retryBudget"),
        Objects.requireNonNull(chooser, "chooser"));
  }

  /** Returns the service. */
  public Service service() {
    return service;
  }

  /** Returns the cost model. */
  public CostModel costModel() {
    return costModel;
  }

  /** Returns the budget for retries and hedges. */
  public RetryBudget retryBudget() {
    return retryBudget;
  }

  /** Returns all replicas in use, including leaving ones. */
  public List<Replica> replicas() {
    return replicas;
  }

  /**
   * Replaces the configuration of the service.
   *
   * @param changed new configuration, with the same service name
   */
  public void onConfigured(Service changed) {
    service = changed;
  }

  /**
   * Replaces the replicas by those of the platform's list. A replica keeps its state if its
   * endpoint is the same. Replicas that are no longer listed are removed and get no new calls.
   *
   * @param listed the subset of the listed replicas that this instance uses, not null
   * @param limitFactory creates the concurrency limits of new replicas, not null
   */
  public void onListed(List<ListedReplica> listed, LimitFactory limitFactory) {
    Map<ReplicaId, Replica> listedReplicas = new LinkedHashMap<>();
    for (ListedReplica each : listed) {
      Replica known = byId.get(each.id());
      boolean hasSameEndpoint = known != null && known.listed().endpoint().equals(each.endpoint());
      Replica replica =
          hasSameEndpoint
              ? known
              : Replica.create(each, limitFactory.create(service), service.concurrency());
      replica.onListed(each.leaving());
      listedReplicas.put(each.id(), replica);
    }
    byId.clear();
    byId.putAll(listedReplicas);
    replicas = new ArrayList<>(listedReplicas.values());
  }

  /**
   * Returns the replica with an identifier.
   *
   * @param id identifier of the replica, not null
   * @return the replica, or empty if it is not in use
   */
  public Optional<Replica> find(ReplicaId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /**
   * Chooses the replica for a call.
   *
   * @param context properties of the call, not null
   * @return an eligible replica, or empty if there is none
   */
  public Optional<Replica> choose(SelectionContext context) {
    return chooser.choose(replicas, context);
  }

  /**
   * Returns whether the pool has a live replica, one that is neither leaving nor ejected.
   *
   * @param now current monotonic time, in nanoseconds
   * @return true if there is at least one
   */
  public boolean hasLive(long now) {
    return replicas.stream().anyMatch(r -> !r.isLeaving() && !r.isEjected(now));
  }

  /**
   * Returns how many calls this instance may have in flight at all live replicas together.
   *
   * @param now current monotonic time, in nanoseconds
   * @return the sum of the concurrency limits of the live replicas
   */
  public int capacity(long now) {
    int total = 0;
    for (Replica replica : replicas) {
      if (!replica.isLeaving() && !replica.isEjected(now)) {
        total += replica.limit();
      }
    }
    return total;
  }

  /** Returns the number of calls of this instance in flight at all replicas together. */
  public int inFlight() {
    int total = 0;
    for (Replica replica : replicas) {
      total += replica.inFlight();
    }
    return total;
  }

  /** Creates concurrency limits for new replicas. */
  public interface LimitFactory {

    /**
     * Returns a new limit.
     *
     * @param service service of the replica
     * @return the limit
     */
    ConcurrencyLimit create(Service service);
  }
}
