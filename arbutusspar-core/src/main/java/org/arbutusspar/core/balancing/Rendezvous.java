package org.arbutusspar.core.balancing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Rendezvous hashing (highest random weight): a selection of a few items out of many that depends
 * only on their names and changes little when items are added or removed.
 */
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
   * Returns the items with the highest scores for a key. Adding or removing one item changes the
   * result by at most one item.
   *
   * @param <T> type of the items
   * @param items items to select from, not null
   * @param name returns the unique name of an item, not null
   * @param key key for which items are selected, such as the name of an instance or a role, not
   *     null
   * @param count maximum number of items to return
   * @return the selected items, highest score first; all items in their given order if there are no
   *     more than {@code count}
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
