package org.arbutusspar.core.stage;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.apache.commons.lang3.Validate;
import org.arbutusspar.core.BoundedMaps;
import org.arbutusspar.core.Nanos;

/**
 * Estimates how long the pieces of a request wait in a queue that serves them by {@link
 * UrgencyOrder}, from the wait of a piece that would go behind all others, and from the load of the
 * kinds of request that share the queue. The queue serves the pieces up to a point in the order;
 * each kind waits for the time by which its pieces lie behind that point, and the mean of these
 * waits over the load is that of the whole queue.
 *
 * <p>Load pattern: a burst of patient requests while urgent ones come as before. The urgent ones go
 * ahead of the queue, so its length is no reason to reject them; the patient ones wait for longer
 * than the mean.
 *
 * <p>Times are monotonic, in nanoseconds, unless stated otherwise. Not thread-safe.
 */
public final class WaitByUrgency {

  /** Time constant of the averages of load, in milliseconds. */
  private static final double AVERAGING_MILLIS = 10_000;

  /**
   * Maximum wait of a piece as a multiple of that of the queue. A patient piece waits for longer
   * than the queue as it is, since urgent ones that arrive later go ahead of it. Where a kind has
   * little load, as after most of it was rejected, its place in the order tells nothing about that.
   */
  private static final double MAX_WAIT_FACTOR = 2;

  private static final int MAX_KINDS = 256;

  private final Map<String, KindLoad> kinds = BoundedMaps.droppingOldest(MAX_KINDS);

  private WaitByUrgency() {}

  /** Returns an object that has seen no requests. */
  public static WaitByUrgency create() {
    return new WaitByUrgency();
  }

  /**
   * Records an admitted request.
   *
   * @param kind name of its kind, not null
   * @param orderMillis place of its pieces in the order when they are submitted, as of {@link
   *     UrgencyOrder#placeMillis}
   * @param pieces number of its pieces in this queue
   * @param now current time
   */
  public void onRequest(String kind, double orderMillis, int pieces, long now) {
    kinds.computeIfAbsent(kind, name -> new KindLoad()).add(orderMillis, pieces, now);
  }

  /**
   * Estimates the wait of a piece.
   *
   * @param orderMillis its place in the order, as for {@link #onRequest}
   * @param queueMillis wait of a piece behind all others, in milliseconds
   * @param now current time
   * @return the wait in milliseconds; that of the whole queue if no load is known
   */
  public double waitMillis(double orderMillis, double queueMillis, long now) {
    Validate.isTrue(queueMillis >= 0, "queueMillis must not be negative");
    List<KindLoad> lastFirst =
        kinds.values().stream()
            .sorted(Comparator.comparingDouble((KindLoad kind) -> -kind.orderMillis))
            .toList();
    double total = lastFirst.stream().mapToDouble(kind -> kind.pieces(now)).sum();
    if (total <= 0) {
      return queueMillis;
    }
    double pieces = 0;
    double orderSum = 0;
    double served = Double.POSITIVE_INFINITY;
    for (KindLoad kind : lastFirst) {
      if (pieces > 0 && served >= kind.orderMillis) {
        break;
      }
      pieces += kind.pieces(now);
      orderSum += kind.pieces(now) * kind.orderMillis;
      served = (orderSum - queueMillis * total) / pieces;
    }
    return Math.min(MAX_WAIT_FACTOR * queueMillis, Math.max(0, orderMillis - served));
  }

  /** Load of one kind: pieces submitted recently, and their place in the order. */
  private static final class KindLoad {
    private double pieces;
    private double orderMillis;
    private long updatedAt;

    private void add(double newOrderMillis, int newPieces, long now) {
      pieces = pieces(now) + newPieces;
      orderMillis = newOrderMillis;
      updatedAt = now;
    }

    private double pieces(long now) {
      return pieces * Math.exp(-Nanos.toMillis(Math.max(0, now - updatedAt)) / AVERAGING_MILLIS);
    }
  }
}
