package org.arbutusspar.core.balancing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the one of two candidates that is predicted to finish the call first (power of two
 * choices). The candidates are the replica that probably has the prompt prefix in its cache, if
 * any, and randomly sampled eligible replicas. Sampling prevents instances that received the same
 * load reports from all choosing the same replica, and makes the cost independent of the size of
 * the pool.
 */
public final class PredictedFinishChooser implements ReplicaChooser {

  /** Maximum number of random samples, eligible or not, for one call. */
  private static final int MAX_SAMPLES = 6;

  private final UniformRandomProvider random;
  private final PrefixHints hints;

  private PredictedFinishChooser(UniformRandomProvider random, PrefixHints hints) {
    this.random = random;
    this.hints = hints;
  }

  /**
   * Returns a chooser.
   *
   * @param random random number generator for the samples, not null
   * @param hints likely contents of the prompt caches of the replicas, not null
   * @return the chooser
   */
  public static PredictedFinishChooser create(UniformRandomProvider random, PrefixHints hints) {
    return new PredictedFinishChooser(random, hints);
  }

  @Override
  public Optional<Replica> choose(List<Replica> replicas, SelectionContext context) {
    Replica best = probableHolder(replicas, context);
    int candidates = best == null ? 0 : 1;
    for (int i = 0; i < MAX_SAMPLES && candidates < 2 && !replicas.isEmpty(); i++) {
      Replica candidate = replicas.get(random.nextInt(replicas.size()));
      if (candidate != best && context.admits(candidate)) {
        best = fasterOf(best, candidate, context);
        candidates++;
      }
    }
    return best == null ? scanFromRandomStart(replicas, context) : Optional.of(best);
  }

  private Replica probableHolder(List<Replica> replicas, SelectionContext context) {
    return hints
        .probableHolder(context.affinity(), context.now())
        .flatMap(id -> replicas.stream().filter(r -> r.listed().id().equals(id)).findFirst())
        .filter(context::admits)
        .orElse(null);
  }

  private Replica fasterOf(Replica best, Replica candidate, SelectionContext context) {
    if (best == null) {
      return candidate;
    }
    return predictedFinishMillis(candidate, context) < predictedFinishMillis(best, context)
        ? candidate
        : best;
  }

  private double predictedFinishMillis(Replica replica, SelectionContext context) {
    double savedFraction =
        hints.expectedSaving(context.affinity(), replica.listed().id(), context.now());
    return context.finishMillis(replica) * (1 - savedFraction);
  }

  /**
   * Returns the first eligible replica from a random position on. Used when no sample was eligible.
   */
  private Optional<Replica> scanFromRandomStart(List<Replica> replicas, SelectionContext context) {
    int size = replicas.size();
    int start = size == 0 ? 0 : random.nextInt(size);
    for (int i = 0; i < size; i++) {
      Replica candidate = replicas.get((start + i) % size);
      if (context.admits(candidate)) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }
}
