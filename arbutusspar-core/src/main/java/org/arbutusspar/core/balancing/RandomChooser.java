package org.arbutusspar.core.balancing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses an eligible replica uniformly at random. Baseline for comparisons with {@link
 * PredictedFinishChooser}.
 */
public final class RandomChooser implements ReplicaChooser {

  private final UniformRandomProvider random;

  private RandomChooser(UniformRandomProvider random) {
    this.random = random;
  }

  /**
   * Returns a chooser.
   *
   * @param random random number generator, not null
   * @return the chooser
   */
  public static RandomChooser create(UniformRandomProvider random) {
    return new RandomChooser(random);
  }

  @Override
  public Optional<Replica> choose(List<Replica> replicas, SelectionContext context) {
    List<Replica> admitted = replicas.stream().filter(context::admits).toList();
    return admitted.isEmpty()
        ? Optional.empty()
        : Optional.of(admitted.get(random.nextInt(admitted.size())));
  }
}
