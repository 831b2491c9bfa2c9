package org.arbutusspar.io.link;

import java.util.List;
import org.arbutusspar.core.fellow.Beat;
import org.arbutusspar.core.fellow.Fellow;
import org.arbutusspar.core.stage.Piece;
import org.arbutusspar.core.stage.PieceOutcome;

/** What instances that serve the platform's clients tell each other. */
public sealed interface FellowMessage {

  /**
   * First message in either direction.
   *
   * @param self the sender
   * @param known instances that the sender knows
   */
  record Hello(Fellow self, List<Fellow> known) implements FellowMessage {}

  /**
   * Sign of life.
   *
   * @param beat the sender's state
   */
  record Alive(Beat beat) implements FellowMessage {}

  /**
   * Pieces to be gathered by the receiver. Times are relative to the sending.
   *
   * @param service service that makes them
   * @param pieces the pieces
   */
  record Pieces(String service, List<Piece> pieces) implements FellowMessage {}

  /**
   * What became of pieces that the receiver has sent.
   *
   * @param outcomes the outcomes
   */
  record Outcomes(List<PieceOutcome> outcomes) implements FellowMessage {}

  /**
   * The pieces of a request are no longer wanted.
   *
   * @param requestId identifier of the request
   */
  record Cancel(String requestId) implements FellowMessage {}

  /**
   * Results that the receiver had made are no longer wanted.
   *
   * @param handles handles of the results
   */
  record Release(List<String> handles) implements FellowMessage {}

  /**
   * Asks for a table whose state at the receiver is newer.
   *
   * @param table the table
   */
  record TableRequest(Table table) implements FellowMessage {}

  /**
   * A whole table.
   *
   * @param table the table
   * @param offset offset of the store up to which it has been read
   * @param rows the rows
   */
  record TableData(Table table, long offset, List<Row> rows) implements FellowMessage {}

  /** A table that instances read from the store. */
  enum Table {
    /** The operators' configuration. */
    CONFIGURATION,
    /** The list of replicas. */
    REPLICAS
  }

  /**
   * A row of a table.
   *
   * @param key its key
   * @param value its value, not to be changed
   */
  record Row(String key, byte[] value) {}
}
