package org.arbutusspar.core.balancing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the eligible replicas in rotation. Baseline for comparisons with {@link
 * PredictedFinishChooser}.
 */
public final class RoundRobinChooser implements ReplicaChooser {

  private int nextIndex;

  private RoundRobinChooser() {}

  /** Returns a chooser that starts with the first replica. */
  public static RoundRobinChooser create() {
    return new RoundRobinChooser();
  }

  @Override
  public Optional<Replica> choose(List<Replica> pool, SelectionContext context) {
    for (int i = 0; i < pool.size(); i++) {
      Replica candidate = pool.get(Math.floorMod(nextIndex++, pool.size()));
      if (context.admits(candidate)) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }
}
