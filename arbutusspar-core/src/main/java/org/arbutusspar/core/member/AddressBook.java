package org.arbutusspar.core.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.id.Home;

/**
 * Selects the instances whose addresses are returned to callers.
 *
 * <p>The selection is a weighted random draw without replacement among the live instances. The
 * weight is larger for instances in the caller's data centre and falls with the number of active
 * requests. Leaving instances are not selected. Not thread-safe.
 */
public final class AddressBook {

  /** Maximum time for which a caller may cache a response, in milliseconds. */
  public static final long MAX_CACHE_MILLIS = 5_000;

  /** Maximum number of instances in a response. */
  private static final int MAX_ADDRESSES = 3;

  /** Weight of an instance in the caller's data centre; instances elsewhere have weight 1. */
  private static final double SAME_DATA_CENTRE_WEIGHT = 4;

  /**
   * Minimum cache time as a fraction of {@link #MAX_CACHE_MILLIS}. The cache time of each response
   * is drawn uniformly between the minimum and the maximum.
   */
  private static final double MIN_CACHE_FRACTION = 0.6;

  private final UniformRandomProvider random;
  private final Map<Home, Integer> activeRequests = new HashMap<>();

  private AddressBook(UniformRandomProvider random) {
    this.random = random;
  }

  /**
   * Returns an address book without load values.
   *
   * @param seed seed of the random number generator
   * @return the address book
   */
  public static AddressBook create(long seed) {
    return new AddressBook(RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
  }

  /**
   * Records the load of an instance.
   *
   * @param home incarnation of the instance, not null
   * @param active number of requests that it has admitted and not yet completed
   */
  public void onLoad(Home home, int active) {
    activeRequests.put(home, active);
  }

  /**
   * Returns the response to a caller.
   *
   * <p>Load values of instances that are not in {@code members} are removed. An instance without a
   * load value counts with the mean load of the candidates.
   *
   * @param members instances that are not known to be dead, not null
   * @param callerDataCentre data centre of the caller, or empty if the caller did not send it
   * @return the response; it holds no instance if none is live
   */
  public AddressAnswer answer(List<MemberRecord> members, Optional<DataCentre> callerDataCentre) {
    activeRequests
        .keySet()
        .removeIf(home -> members.stream().noneMatch(m -> m.home().equals(home)));
    List<MemberRecord> candidates =
        new ArrayList<>(members.stream().filter(m -> m.status() == MemberStatus.LIVE).toList());
    List<MemberRecord> chosen = new ArrayList<>();
    while (!candidates.isEmpty() && chosen.size() < MAX_ADDRESSES) {
      MemberRecord drawn = drawWeighted(candidates, callerDataCentre);
      candidates.remove(drawn);
      chosen.add(drawn);
    }
    double fraction = MIN_CACHE_FRACTION + (1 - MIN_CACHE_FRACTION) * random.nextDouble();
    return new AddressAnswer(chosen, (long) (MAX_CACHE_MILLIS * fraction));
  }

  private MemberRecord drawWeighted(
      List<MemberRecord> candidates, Optional<DataCentre> callerDataCentre) {
    double meanLoad = averageLoad(candidates);
    double totalWeight = 0;
    for (MemberRecord candidate : candidates) {
      totalWeight += weight(candidate, callerDataCentre, meanLoad);
    }
    double remaining = random.nextDouble() * totalWeight;
    for (MemberRecord candidate : candidates) {
      remaining -= weight(candidate, callerDataCentre, meanLoad);
      if (remaining <= 0) {
        return candidate;
      }
    }
    return candidates.get(candidates.size() - 1);
  }

  private double averageLoad(List<MemberRecord> candidates) {
    return candidates.stream()
        .mapToInt(m -> activeRequests.getOrDefault(m.home(), 0))
        .average()
        .orElse(0);
  }

  private double weight(
      MemberRecord member, Optional<DataCentre> callerDataCentre, double meanLoad) {
    double load = activeRequests.getOrDefault(member.home(), (int) meanLoad);
    double locality =
        callerDataCentre.filter(member.dataCentre()::equals).isPresent()
            ? SAME_DATA_CENTRE_WEIGHT
            : 1;
    return locality * (1 + meanLoad) / (1 + load);
  }
}
