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
 * The replicas of one service that this instance uses, with the service's cost model and budget.
 * Changed by the decision thread only.
 */
public final class Pool {

  /** Most replicas of one service that an instance uses, whatever the size of the pool. */
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
   * @param costModel its cost model, not null
   * @param retryBudget its budget of extra calls, not null
   * @param chooser chooses its replicas, not null
   * @return the pool
   */
  public static Pool create(
      Service service, CostModel costModel, RetryBudget retryBudget, ReplicaChooser chooser) {
    return new Pool(
        Objects.requireNonNull(service, "service"),
        Objects.requireNonNull(costModel, "costModel"),
        Objects.requireNonNull(retryBudget, "budget"),
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

  /** Returns the budget of extra calls. */
  public RetryBudget retryBudget() {
    return retryBudget;
  }

  /** Returns the replicas in use, leaving ones included. */
  public List<Replica> replicas() {
    return replicas;
  }

  /**
   * Takes over a changed service.
   *
   * @param changed the service, of the same name
   */
  public void onConfigured(Service changed) {
    service = changed;
  }

  /**
   * Takes over what the list says. Replicas that the list no longer names get no new work.
   *
   * @param listed the subset of the service's replicas to use, not null
   * @param limits makes the limit of a new replica, not null
   */
  public void onListed(List<ListedReplica> listed, LimitFactory limits) {
    Map<ReplicaId, Replica> next = new LinkedHashMap<>();
    for (ListedReplica each : listed) {
      Replica known = byId.get(each.id());
      boolean same = known != null && known.listed().endpoint().equals(each.endpoint());
      Replica replica =
          same ? known : Replica.create(each, limits.create(service), service.concurrency());
      replica.onListed(each.leaving());
      next.put(each.id(), replica);
    }
    byId.clear();
    byId.putAll(next);
    replicas = new ArrayList<>(next.values());
  }

  /**
   * Returns a replica.
   *
   * @param id its identifier, not null
   * @return the replica, or empty if it is not in use
   */
  public Optional<Replica> find(ReplicaId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /**
   * Returns the replica for a call.
   *
   * @param context what is known of the call, not null
   * @return an eligible replica, or empty
   */
  public Optional<Replica> choose(SelectionContext context) {
    return chooser.choose(replicas, context);
  }

  /** Returns whether any replica is neither leaving nor ejected. */
  public boolean hasLive(long now) {
    return replicas.stream().anyMatch(r -> !r.isLeaving() && !r.isEjected(now));
  }

  /**
   * Returns the calls that live replicas take at once from this instance.
   *
   * @param now the time
   * @return the sum of their limits
   */
  public int capacity(long now) {
    int sum = 0;
    for (Replica replica : replicas) {
      if (!replica.isLeaving() && !replica.isEjected(now)) {
        sum += replica.limit();
      }
    }
    return sum;
  }

  /** Returns own calls in flight at all replicas. */
  public int inFlight() {
    int sum = 0;
    for (Replica replica : replicas) {
      sum += replica.inFlight();
    }
    return sum;
  }

  /** Makes the limit of a new replica. */
  public interface LimitFactory {

    /**
     * Returns a new limit.
     *
     * @param service the replica's service
     * @return the limit
     */
    ConcurrencyLimit create(Service service);
  }
}
