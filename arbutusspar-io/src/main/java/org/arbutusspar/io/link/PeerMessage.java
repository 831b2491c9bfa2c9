package org.arbutusspar.io.link;

import java.util.List;
import org.arbutusspar.core.peer.Peer;
import org.arbutusspar.core.peer.PeerStatus;
import org.arbutusspar.core.placement.EnginePlacer;
import org.arbutusspar.core.stage.Piece;
import org.arbutusspar.core.stage.PieceOutcome;

/** What instances that serve the platform's clients tell each other. */
public sealed interface PeerMessage {

  /**
   * First message in either direction.
   *
   * @param self the sender
   * @param known instances that the sender knows
   */
  record Hello(Peer self, List<Peer> known) implements PeerMessage {}

  /**
   * Sign of life.
   *
   * @param status the sender's state
   */
  record Heartbeat(PeerStatus status) implements PeerMessage {}

  /**
   * Pieces to be gathered by the receiver. Times are relative to the sending.
   *
   * @param service service that makes them
   * @param pieces the pieces
   */
  record Pieces(String service, List<Piece> pieces) implements PeerMessage {}

  /**
   * What became of pieces that the receiver has sent.
   *
   * @param outcomes the outcomes
   */
  record Outcomes(List<PieceOutcome> outcomes) implements PeerMessage {}

  /**
   * The pieces of a request are no longer wanted.
   *
   * @param requestId identifier of the request
   */
  record Cancel(String requestId) implements PeerMessage {}

  /**
   * Results that the receiver had made are no longer wanted.
   *
   * @param handles handles of the results
   */
  record Release(List<String> handles) implements PeerMessage {}

  /**
   * Asks for a table whose state at the receiver is newer.
   *
   * @param table the table
   */
  record TableRequest(Table table) implements PeerMessage {}

  /**
   * A whole table.
   *
   * @param table the table
   * @param offset offset of the store up to which it has been read
   * @param rows the rows
   */
  record TableData(Table table, long offset, List<Row> rows) implements PeerMessage {}

  /**
   * Asks for a replica of a model engine.
   *
   * @param service the engine's service
   * @param request the request to be placed
   */
  record PlaceRequest(String service, EnginePlacer.EngineRequest request) implements PeerMessage {}

  /**
   * Answers where a request goes.
   *
   * @param requestId identifier of the request
   * @param replicaId identifier of the replica; empty if none has a place
   */
  record PlaceResponse(String requestId, String replicaId) implements PeerMessage {}

  /**
   * Tells how a request that was placed goes on.
   *
   * @param service the engine's service
   * @param requestId identifier of the request
   * @param state how it goes on
   */
  record PlacementUpdate(String service, String requestId, RunState state) implements PeerMessage {}

  /** How a request that was placed goes on. */
  enum RunState {
    /** Its answer has begun. */
    BEGUN,
    /** It has ended, and its replica answered. */
    ENDED,
    /** It has ended without an answer. */
    BROKEN
  }

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
