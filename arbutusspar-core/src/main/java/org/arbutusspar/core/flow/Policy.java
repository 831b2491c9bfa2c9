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
 * The parts of the decision that vary: the real ones, or baselines to measure against.
 *
 * @param chooser how a replica is chosen
 * @param admission how requests are admitted
 * @param queue how waiting requests are ordered
 * @param limit how calls in flight at a replica are bounded
 * @param budget how extra calls are bounded
 */
public record Policy(
    ChooserKind chooser,
    AdmissionKind admission,
    QueueKind queue,
    LimitKind limit,
    BudgetKind budget) {

  private static final double RETRY_SHARE_OF_FIRST_ATTEMPTS = 0.08;
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
   * Returns a baseline: no admission control, first come first served, fixed limits.
   *
   * @param chooser how a replica is chosen
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

  /** Ways to choose a replica. */
  public enum ChooserKind {
    /** Two samples compared on predicted finish. */
    PREDICTED_FINISH,
    /** Any eligible replica. */
    RANDOM,
    /** In turn. */
    ROUND_ROBIN,
    /** Fewest own calls in flight. */
    LEAST_IN_FLIGHT
  }

  /** Ways to admit requests. */
  public enum AdmissionKind {
    /** By predicted finish. */
    PREDICTIVE,
    /** Every request. */
    OPEN
  }

  /** Ways to order waiting requests. */
  public enum QueueKind {
    /** Fair between workspaces, by deadline within. */
    FAIR,
    /** First come first served. */
    FIFO
  }

  /** Ways to bound calls in flight. */
  public enum LimitKind {
    /** Follows what the replica delivers. */
    ADAPTIVE,
    /** The configured concurrency. */
    FIXED
  }

  /** Ways to bound extra calls. */
  public enum BudgetKind {
    /** A share of first attempts. */
    TOKENS,
    /** No bound. */
    UNLIMITED
  }
}
