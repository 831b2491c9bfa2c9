package org.arbutusspar.core.stage;

import java.util.Comparator;
import org.arbutusspar.core.Nanos;

/**
 * Order by latest start time and priority. Pieces in time go before late ones. Pieces in time are
 * sorted by latest start time, to which each priority rank adds a fixed time. Among late pieces,
 * those that read results of earlier stages go first, since these results expire; then the priority
 * decides. Ties are broken by deadline.
 *
 * <p>Load pattern: a burst that queues more work than can be done within the target time of a
 * request. In order of arrival, late pieces would delay pieces in time until these are late as
 * well.
 */
public final class UrgencyOrder implements PieceOrder {

  /** Time by which each priority rank postpones a piece in the order. */
  private static final long PRIORITY_RANK_NANOS = Nanos.ofMillis(250);

  private UrgencyOrder() {}

  /** Returns the urgency order. */
  public static UrgencyOrder create() {
    return new UrgencyOrder();
  }

  /**
   * Returns the place of a piece in the order, among those in time.
   *
   * @param slackMillis time until its latest start, in milliseconds
   * @param priority priority rank, 0 is the most urgent
   * @return time until its latest start with the addition for its priority, in milliseconds
   */
  public static double placeMillis(double slackMillis, int priority) {
    return slackMillis + priority * Nanos.toMillis(PRIORITY_RANK_NANOS);
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
