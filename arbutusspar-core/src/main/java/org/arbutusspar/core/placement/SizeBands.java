package org.arbutusspar.core.placement;

import java.util.Arrays;
import java.util.Map;
import org.arbutusspar.core.BoundedMaps;

/** Sorts requests of each kind into bands by size: the largest tenth, the fifth below, the rest. */
final class SizeBands {

  /** Number of the last requests of a kind that others are compared with. */
  private static final int SAMPLES = 100;

  private static final int LARGEST = SAMPLES / 10;
  private static final int LARGE = LARGEST + SAMPLES / 5;
  private static final int MAX_KINDS = 1_024;

  private final Map<String, Samples> kinds = BoundedMaps.droppingOldest(MAX_KINDS);

  private SizeBands() {}

  /** Returns an object that has seen no requests. */
  static SizeBands create() {
    return new SizeBands();
  }

  /**
   * Records the size of a request and returns its band.
   *
   * @param kind kind of the request, not null
   * @param size size of the request
   * @return "largest", "large" or "usual"; always the last until enough requests are known
   */
  String band(String kind, long size) {
    return kinds.computeIfAbsent(kind, name -> new Samples()).band(size);
  }

  /** The last sizes of one kind. */
  private static final class Samples {
    private final long[] sizes = new long[SAMPLES];
    private int count;

    private String band(long size) {
      sizes[count++ % SAMPLES] = size;
      if (count < SAMPLES) {
        return "usual";
      }
      long larger = Arrays.stream(sizes).filter(other -> other > size).count();
      return larger < LARGEST ? "largest" : larger < LARGE ? "large" : "usual";
    }
  }
}
