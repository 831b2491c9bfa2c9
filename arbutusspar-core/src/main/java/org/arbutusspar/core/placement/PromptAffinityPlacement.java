package org.arbutusspar.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.arbutusspar.core.balancing.Rendezvous;

/**
 * Sends requests with the same shared prompt parts to the same replica, unless that replica has
 * much more load than the others. All instances agree on the ranking without talking to each other.
 *
 * <p>Load pattern: long prompts of which a few subjects are shared by most requests, with now and
 * then one subject that gets much of the traffic.
 */
public final class PromptAffinityPlacement implements Placement {

  /** A replica may have this many times the mean load before the next in rank is taken. */
  private static final double MAX_LOAD_FACTOR = 1.5;

  /** Load that no replica is passed over for. */
  private static final double LOAD_ALLOWANCE = 4;

  /** A replica that takes this many times as long as the best one is passed over. */
  private static final double MAX_COST_FACTOR = 2.5;

  private PromptAffinityPlacement() {}

  /** Returns the placement. */
  public static PromptAffinityPlacement create() {
    return new PromptAffinityPlacement();
  }

  @Override
  public Optional<Candidate> choose(PlacementRequest request, List<Candidate> candidates) {
    double meanLoad = candidates.stream().mapToDouble(Candidate::load).average().orElse(0);
    double maxLoad = LOAD_ALLOWANCE + MAX_LOAD_FACTOR * meanLoad;
    double minCost = candidates.stream().mapToDouble(Candidate::cost).min().orElse(1);
    long key = request.promptKey() == 0 ? request.tieBreaker() : request.promptKey();
    Comparator<Candidate> ranking =
        Comparator.comparingLong(c -> Rendezvous.hash(key + "/" + c.replica().id()));
    return candidates.stream()
        .filter(c -> c.load() <= maxLoad && c.cost() <= MAX_COST_FACTOR * minCost)
        .min(ranking)
        .or(() -> candidates.stream().min(Comparator.comparingDouble(Candidate::load)));
  }
}
