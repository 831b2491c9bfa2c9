package org.arbutusspar.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.arbutusspar.core.balancing.Rendezvous;

/**
 * Chooses the same replica for requests with the same shared prompt parts, unless that replica has
 * much more load or takes much longer than the others. Rendezvous hashing ranks the replicas, so
 * all instances use the same ranking without communication.
 *
 * <p>Load pattern: long prompts whose shared parts are common to many requests. At times, requests
 * with one shared part are a large share of the traffic.
 */
public final class PromptAffinityPlacement implements Placement {

  /**
   * A replica is skipped for the next in rank if its load exceeds this multiple of the mean load
   * plus {@link #LOAD_ALLOWANCE}.
   */
  private static final double MAX_LOAD_FACTOR = 1.5;

  /** Number of requests up to which no replica is skipped because of its load. */
  private static final double LOAD_ALLOWANCE = 4;

  /** A replica is skipped if its cost exceeds this multiple of the lowest cost. */
  private static final double MAX_COST_FACTOR = 2.5;

  private PromptAffinityPlacement() {}

  /** Returns a prompt-affinity placement. */
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
