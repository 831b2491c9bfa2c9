package org.arbutusspar.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.arbutusspar.core.balancing.Rendezvous;

/**
 * Chooses the replica with the least expected wait, from its load per slot and its relative request
 * time. Ties are broken by a random number of the request, so that instances which do not see each
 * other's requests do not all choose the same replica.
 *
 * <p>Load pattern: short requests to a few replicas with a few slots each.
 */
public final class LeastLoadPlacement implements Placement {

  private LeastLoadPlacement() {}

  /** Returns a least-load placement. */
  public static LeastLoadPlacement create() {
    return new LeastLoadPlacement();
  }

  @Override
  public Optional<Candidate> choose(PlacementRequest request, List<Candidate> candidates) {
    return candidates.stream()
        .min(
            Comparator.comparingDouble(LeastLoadPlacement::expectedWait)
                .thenComparingLong(
                    (Candidate c) -> Rendezvous.hash(request.tieBreaker() + c.replica().id())));
  }

  private static double expectedWait(Candidate candidate) {
    double perSlot = (1 + candidate.load()) / Math.max(1, candidate.replica().slots());
    return Math.max(1, perSlot) * candidate.cost();
  }
}
