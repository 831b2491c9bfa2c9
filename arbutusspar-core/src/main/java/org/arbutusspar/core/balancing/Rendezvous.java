package org.arbutusspar.core.balancing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Rendezvous hashing: a stable choice of a few out of many. */
public final class Rendezvous {

  private static final Hasher64 HASHER = Hashing.komihash5_0();

  private Rendezvous() {}

  /**
   * Returns a 64-bit hash of a text.
   *
   * @param text the text, not null
   * @return the hash
   */
  public static long hash(String text) {
    return HASHER.hashCharsToLong(text);
  }

  /**
   * Returns the items that rank highest for a key. Adding or removing one item changes the result
   * by at most one item.
   *
   * @param <T> type of the items
   * @param items the items, not null
   * @param name name of an item, not null
   * @param key name of who chooses, not null
   * @param count most items to return
   * @return the items, highest rank first
   */
  public static <T> List<T> top(List<T> items, Function<T, String> name, String key, int count) {
    if (items.size() <= count) {
      return List.copyOf(items);
    }
    return items.stream()
        .map(item -> new Scored<>(hash(key + "/" + name.apply(item)), item))
        .sorted(Comparator.comparingLong((Scored<T> r) -> r.score()).reversed())
        .limit(count)
        .map(Scored::item)
        .toList();
  }

  private record Scored<T>(long score, T item) {}
}
