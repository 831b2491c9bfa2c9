package org.arbutusspar.core.stage;

import java.util.Comparator;

/** Order in which queued pieces are put into the next call. */
public interface PieceOrder {

  /**
   * Returns the order of pieces at a given time.
   *
   * @param now the time in nanoseconds
   * @return comparator that sorts the piece to be sent first to the front
   */
  Comparator<Piece> at(long now);
}
