package org.arbutusspar.core.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Order in which instances take on work for the whole deployment: those with the most processing
 * capacity first, and of equal ones those that run longest, so that an instance which starts or
 * restarts takes over no work. Instances that know the same instances agree on the order.
 */
final class InstanceRanking {

  private InstanceRanking() {}

  /**
   * Returns instances in the order of this ranking.
   *
   * @param instances the instances, not null
   * @return the same instances, ordered
   */
  static List<Peer> order(Collection<Peer> instances) {
    return instances.stream()
        .sorted(
            Comparator.comparingInt(Peer::capacity)
                .reversed()
                .thenComparingLong(Peer::incarnation)
                .thenComparing(Peer::name))
        .toList();
  }
}
