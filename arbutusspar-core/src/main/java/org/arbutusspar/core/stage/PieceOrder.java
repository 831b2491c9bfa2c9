package org.arbutusspar.core.stage;

import java.util.Comparator;

/** In which order waiting pieces go into the next call. */
public interface PieceOrder {

  /**
   * Returns the order at a moment.
   *
   * @param now the moment
   * @return the order, first the piece that goes first
   */
  Comparator<Piece> at(long now);
}
