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
 * Chooses the instances that callers are told to use: at random, weighted towards the caller's data
 * centre and away from busy instances. Leaving instances are not named. Not safe for use by several
 * threads.
 */
public final class AddressBook {

  /** Longest time that a caller may keep an answer. */
  public static final long MAX_CACHE_MILLIS = 5_000;

  private static final int MAX_ADDRESSES = 3;
  private static final double SAME_DATA_CENTRE_WEIGHT = 4;
  private static final double MIN_CACHE_FRACTION = 0.6;

  private final UniformRandomProvider random;
  private final Map<Home, Integer> activeRequests = new HashMap<>();

  private AddressBook(UniformRandomProvider random) {
    this.random = random;
  }

  /**
   * Returns an address book.
   *
   * @param seed seed of its random numbers
   * @return the address book
   */
  public static AddressBook create(long seed) {
    return new AddressBook(RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
  }

  /**
   * Learns how busy an instance is.
   *
   * @param home the instance, not null
   * @param active requests that it has between admission and outcome
   */
  public void onLoad(Home home, int active) {
    activeRequests.put(home, active);
  }

  /**
   * Returns an answer to a caller.
   *
   * @param members instances that are not known to be dead, not null
   * @param callerDataCentre where the caller is, if it says so
   * @return the answer; it names no instance if all are leaving
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
