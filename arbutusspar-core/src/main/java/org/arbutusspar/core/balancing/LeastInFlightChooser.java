package org.arbutusspar.core.balancing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the eligible replica with the fewest calls of this instance in flight. Baseline for
 * comparisons with {@link PredictedFinishChooser}.
 */
public final class LeastInFlightChooser implements ReplicaChooser {

  private LeastInFlightChooser() {}

  /** Returns a new chooser. */
  public static LeastInFlightChooser create() {
    return new LeastInFlightChooser();
  }

  @Override
  public Optional<Replica> choose(List<Replica> replicas, SelectionContext context) {
    return replicas.stream()
        .filter(context::admits)
        .min(Comparator.comparingInt(Replica::inFlight));
  }
}
