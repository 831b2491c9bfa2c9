package org.arbutusspar.core.stage;

import java.util.Comparator;

/**
 * Pieces of requests that can still be in time go first, the one that must start soonest before the
 * others; the rest follow by priority and deadline.
 *
 * <p>Load pattern: a burst that fills the queue for longer than a request may take. Work for
 * requests that are late already would make those late that are not.
 */
public final class UrgencyOrder implements PieceOrder {

  private UrgencyOrder() {}

  /** Returns the order. */
  public static UrgencyOrder create() {
    return new UrgencyOrder();
  }

  @Override
  public Comparator<Piece> at(long now) {
    return Comparator.comparing((Piece piece) -> now - piece.startBy() > 0)
        .thenComparingLong(piece -> inTime(piece, now) ? piece.startBy() - now : piece.priority())
        .thenComparingLong(piece -> piece.deadline() - now);
  }

  private static boolean inTime(Piece piece, long now) {
    return now - piece.startBy() <= 0;
  }
}
