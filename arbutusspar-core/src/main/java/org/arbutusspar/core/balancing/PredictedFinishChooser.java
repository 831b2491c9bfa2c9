package org.arbutusspar.core.balancing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Compares two sampled replicas on predicted finish. Sampling keeps instances that see the same
 * reports from all choosing the same replica, and makes the cost independent of the pool's size.
 */
public final class PredictedFinishChooser implements ReplicaChooser {

  private static final int SAMPLES = 6;

  private final UniformRandomProvider random;
  private final PrefixHints hints;

  private PredictedFinishChooser(UniformRandomProvider random, PrefixHints hints) {
    this.random = random;
    this.hints = hints;
  }

  /**
   * Returns a chooser.
   *
   * @param random source of random numbers, not null
   * @param hints what is known of the replicas' prompt caches, not null
   * @return the chooser
   */
  public static PredictedFinishChooser create(UniformRandomProvider random, PrefixHints hints) {
    return new PredictedFinishChooser(random, hints);
  }

  @Override
  public Optional<Replica> choose(List<Replica> pool, Choice choice) {
    Replica best = hinted(pool, choice);
    int found = best == null ? 0 : 1;
    for (int i = 0; i < SAMPLES && found < 2 && !pool.isEmpty(); i++) {
      Replica candidate = pool.get(random.nextInt(pool.size()));
      if (candidate != best && choice.admits(candidate)) {
        best = better(best, candidate, choice);
        found++;
      }
    }
    return best == null ? firstFrom(pool, choice) : Optional.of(best);
  }

  private Replica hinted(List<Replica> pool, Choice choice) {
    return hints
        .holder(choice.affinity(), choice.now())
        .flatMap(id -> pool.stream().filter(r -> r.listed().id().equals(id)).findFirst())
        .filter(choice::admits)
        .orElse(null);
  }

  private Replica better(Replica best, Replica candidate, Choice choice) {
    if (best == null) {
      return candidate;
    }
    return finish(candidate, choice) < finish(best, choice) ? candidate : best;
  }

  private double finish(Replica replica, Choice choice) {
    double saving = hints.saving(choice.affinity(), replica.listed().id(), choice.now());
    return choice.finishMillis(replica) * (1 - saving);
  }

  /** Scans the whole pool from a random place, for when samples found nothing. */
  private Optional<Replica> firstFrom(List<Replica> pool, Choice choice) {
    int size = pool.size();
    int start = size == 0 ? 0 : random.nextInt(size);
    for (int i = 0; i < size; i++) {
      Replica candidate = pool.get((start + i) % size);
      if (choice.admits(candidate)) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }
}
