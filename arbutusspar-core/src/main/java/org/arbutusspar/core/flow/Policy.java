package org.arbutusspar.core.flow;

import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.arbutusspar.core.balancing.AdaptiveLimit;
import org.arbutusspar.core.balancing.ConcurrencyLimit;
import org.arbutusspar.core.balancing.FixedLimit;
import org.arbutusspar.core.balancing.LeastInFlightChooser;
import org.arbutusspar.core.balancing.PredictedFinishChooser;
import org.arbutusspar.core.balancing.PrefixHints;
import org.arbutusspar.core.balancing.RandomChooser;
import org.arbutusspar.core.balancing.ReplicaChooser;
import org.arbutusspar.core.balancing.RetryBudget;
import org.arbutusspar.core.balancing.RoundRobinChooser;
import org.arbutusspar.core.balancing.TokenRetryBudget;
import org.arbutusspar.core.balancing.UnlimitedRetryBudget;
import org.arbutusspar.core.config.Service;

/**
 * Algorithms that a {@link Coordinator} uses: those of the daemon, or baselines for comparison.
 *
 * @param chooser algorithm that selects a replica
 * @param admission algorithm that admits requests
 * @param queue order of queued requests
 * @param limit limit on the calls in flight at a replica
 * @param budget limit on retries and hedges
 */
public record Policy(
    ChooserKind chooser,
    AdmissionKind admission,
    QueueKind queue,
    LimitKind limit,
    BudgetKind budget) {

  /** Retries and hedges that each first attempt adds to the budget. */
  private static final double RETRY_SHARE_OF_FIRST_ATTEMPTS = 0.08;

  /** Maximum number of retries and hedges that the budget accumulates. */
  private static final double RETRY_BURST_CALLS = 10;

  /** Checks the components. */
  public Policy {
    Objects.requireNonNull(chooser, "chooser");
    Objects.requireNonNull(admission, "admission");
    Objects.requireNonNull(queue, "queue");
    Objects.requireNonNull(limit, "limit");
    Objects.requireNonNull(budget, "budget");
  }

  /** Returns the policy that the daemon uses. */
  public static Policy standard() {
    return new Policy(
        ChooserKind.PREDICTED_FINISH,
        AdmissionKind.PREDICTIVE,
        QueueKind.FAIR,
        LimitKind.ADAPTIVE,
        BudgetKind.TOKENS);
  }

  /**
   * Returns a baseline policy: no admission control, FIFO queues, fixed limits, and unlimited
   * retries.
   *
   * @param chooser algorithm that selects a replica
   * @return the policy
   */
  public static Policy baseline(ChooserKind chooser) {
    return new Policy(
        chooser, AdmissionKind.OPEN, QueueKind.FIFO, LimitKind.FIXED, BudgetKind.UNLIMITED);
  }

  ReplicaChooser newChooser(UniformRandomProvider random, PrefixHints hints) {
    return switch (chooser) {
      case PREDICTED_FINISH -> PredictedFinishChooser.create(random, hints);
      case RANDOM -> RandomChooser.create(random);
      case ROUND_ROBIN -> RoundRobinChooser.create();
      case LEAST_IN_FLIGHT -> LeastInFlightChooser.create();
    };
  }

  Admission newAdmission(UniformRandomProvider random) {
    return switch (admission) {
      case PREDICTIVE -> PredictiveAdmission.create(random);
      case OPEN -> OpenAdmission.create();
    };
  }

  StageQueue newQueue() {
    return queue == QueueKind.FAIR ? FairQueue.create() : FifoQueue.create();
  }

  /**
   * Returns the limit on this instance's calls in flight at one replica. An adaptive limit starts
   * at the fair share of the configured concurrency: one part for each live instance.
   */
  ConcurrencyLimit newLimit(Service service, int liveInstances) {
    int max = service.concurrency();
    if (limit == LimitKind.FIXED) {
      return FixedLimit.of(max);
    }
    int fairLimit = (max + liveInstances - 1) / Math.max(1, liveInstances);
    return AdaptiveLimit.create(Math.max(1, Math.min(max, fairLimit)), max);
  }

  RetryBudget newBudget() {
    return budget == BudgetKind.TOKENS
        ? TokenRetryBudget.create(RETRY_SHARE_OF_FIRST_ATTEMPTS, RETRY_BURST_CALLS)
        : UnlimitedRetryBudget.create();
  }

  static UniformRandomProvider newRandom(long seed) {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Algorithms that select a replica. */
  public enum ChooserKind {
    /** Samples two replicas and takes the one with the earlier predicted finish. */
    PREDICTED_FINISH,
    /** Takes a random eligible replica. */
    RANDOM,
    /** Takes eligible replicas in turn. */
    ROUND_ROBIN,
    /** Takes the replica with the fewest calls in flight from this instance. */
    LEAST_IN_FLIGHT
  }

  /** Admission control algorithms. */
  public enum AdmissionKind {
    /** Admits a request if it is predicted to meet its deadline. */
    PREDICTIVE,
    /** Admits every request. */
    OPEN
  }

  /** Orders of queued requests. */
  public enum QueueKind {
    /** Fair between workspaces, by deadline within a workspace. */
    FAIR,
    /** First in, first out. */
    FIFO
  }

  /** Limits on the calls in flight at a replica. */
  public enum LimitKind {
    /** Adapts to the measured performance and load reports of the replica. */
    ADAPTIVE,
    /** Always the configured concurrency of the service. */
    FIXED
  }

  /** Limits on retries and hedges. */
  public enum BudgetKind {
    /** Token bucket that is filled by a share of the first attempts. */
    TOKENS,
    /** No limit. */
    UNLIMITED
  }
}
