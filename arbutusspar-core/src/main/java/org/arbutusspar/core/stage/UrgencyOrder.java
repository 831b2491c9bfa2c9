package org.arbutusspar.core.stage;

import java.util.Comparator;
import org.arbutusspar.core.Nanos;

/**
 * Pieces of requests that can still be in time go first, the one that must start soonest before the
 * others, where each rank of priority counts like some time; the rest follow: first those that read
 * results, since these expire, then by priority and deadline.
 *
 * <p>Load pattern: a burst that fills the queue for longer than a request may take. Work for
 * requests that are late already would make those late that are not.
 */
public final class UrgencyOrder implements PieceOrder {

  /** A rank of priority goes before a start that is sooner by less than this. */
  private static final long PRIORITY_RANK_NANOS = Nanos.ofMillis(250);

  private UrgencyOrder() {}

  /** Returns the order. */
  public static UrgencyOrder create() {
    return new UrgencyOrder();
  }

  @Override
  public Comparator<Piece> at(long now) {
    return Comparator.comparing((Piece piece) -> !isInTime(piece, now))
        .thenComparing(piece -> !isInTime(piece, now) && piece.inputs().isEmpty())
        .thenComparingLong(
            piece -> isInTime(piece, now) ? weightedStartBy(piece, now) : piece.priority())
        .thenComparingLong(piece -> piece.deadline() - now);
  }

  private static boolean isInTime(Piece piece, long now) {
    return now - piece.startBy() <= 0;
  }

  private static long weightedStartBy(Piece piece, long now) {
    return piece.startBy() - now + piece.priority() * PRIORITY_RANK_NANOS;
  }
}
