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
  public Optional<Replica> choose(List<Replica> replicas, SelectionContext context) {
    for (int i = 0; i < replicas.size(); i++) {
      Replica candidate = replicas.get(Math.floorMod(nextIndex++, replicas.size()));
      if (context.admits(candidate)) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }
}
