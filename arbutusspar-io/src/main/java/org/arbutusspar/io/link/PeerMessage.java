package org.arbutusspar.io.link;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.arbutusspar.core.peer.Peer;
import org.arbutusspar.core.peer.PeerState;
import org.arbutusspar.core.peer.PeerStatus;
import org.arbutusspar.core.peer.TableCopy;
import org.arbutusspar.core.peer.TableName;
import org.arbutusspar.core.placement.BlockDecision;
import org.arbutusspar.core.placement.CrashReport;
import org.arbutusspar.core.placement.EnginePlacer;
import org.arbutusspar.core.placement.StatedLimit;
import org.arbutusspar.core.placement.WorkObservation;
import org.arbutusspar.core.stage.Piece;
import org.arbutusspar.core.stage.PieceOutcome;

/**
 * Message that entry instances exchange on a {@link FrameConnection}, encoded by {@link PeerCodec}.
 */
public sealed interface PeerMessage {

  /**
   * First message that each side sends on a connection.
   *
   * @param self the sender
   * @param known peers that the sender knows
   */
  record Hello(Peer self, List<Peer> known) implements PeerMessage {}

  /**
   * Heartbeat.
   *
   * @param status the sender's current status
   */
  record Heartbeat(PeerStatus status) implements PeerMessage {}

  /**
   * States of instances to which the sender is connected, for receivers that are not.
   *
   * @param states the states that have changed; all states in the first message
   */
  record States(List<PeerState> states) implements PeerMessage {}

  /**
   * Pieces of requests for the receiver to batch. On the wire, their times are relative to the time
   * of sending; see {@link PeerCodec}.
   *
   * @param service name of the service that computes the pieces
   * @param pieces the pieces
   */
  record Pieces(String service, List<Piece> pieces) implements PeerMessage {}

  /**
   * Outcomes of pieces that the receiver of this message submitted earlier.
   *
   * @param outcomes the outcomes
   */
  record Outcomes(List<PieceOutcome> outcomes) implements PeerMessage {}

  /**
   * Cancels all pieces of a request.
   *
   * @param requestId identifier of the request
   */
  record Cancel(String requestId) implements PeerMessage {}

  /**
   * Releases results of pieces that the receiver batched, so that replicas can free their memory.
   *
   * @param handles handles of the results
   */
  record Release(List<String> handles) implements PeerMessage {}

  /**
   * Requests the rows of a table that the sender lacks.
   *
   * @param table the table
   * @param since offset up to which the sender has the table, -1 if it has no rows
   */
  record TableRequest(TableName table, long since) implements PeerMessage {}

  /**
   * Response to a {@link TableRequest}.
   *
   * @param table the table
   * @param copy the rows
   */
  record TableData(TableName table, TableCopy copy) implements PeerMessage {}

  /**
   * Requests the placement of a request: the choice of a model engine replica for it. Sent again
   * while the request waits. On the wire, times are relative to the time of sending.
   *
   * @param service name of the engine's service
   * @param request the request to be placed
   */
  record PlaceRequest(String service, EnginePlacer.EngineRequest request) implements PeerMessage {}

  /**
   * Response to a {@link PlaceRequest}.
   *
   * @param requestId identifier of the request
   * @param replicaId identifier of the chosen replica; empty if no replica has capacity
   * @param waiting whether the request waits at the sender, which responds again when it no longer
   *     does
   * @param millis expected wait, or if the request is rejected the time after which its client
   *     should return, in milliseconds; 0 if unknown
   */
  record PlaceResponse(String requestId, String replicaId, boolean waiting, long millis)
      implements PeerMessage {

    /** Creates a response to a request that does not wait, without a time. */
    public PlaceResponse(String requestId, String replicaId) {
      this(requestId, replicaId, false, 0);
    }
  }

  /**
   * Reports a state change of a placed request to the placer.
   *
   * @param service name of the engine's service
   * @param requestId identifier of the request
   * @param state the new state
   * @param subject subject of the request if its connection broke, otherwise the empty string
   * @param observation how long the replica took; empty if it does not state how long work takes
   * @param statedRequests number of requests at the replica, as that stated; empty if it is not
   *     known or not needed
   */
  record PlacementUpdate(
      String service,
      String requestId,
      RunState state,
      String subject,
      Optional<WorkObservation> observation,
      OptionalInt statedRequests)
      implements PeerMessage {

    /** Creates an update of a state only; see the components of this record. */
    public PlacementUpdate(String service, String requestId, RunState state, String subject) {
      this(service, requestId, state, subject, Optional.empty(), OptionalInt.empty());
    }
  }

  /**
   * Passes on a decision to block or permit requests. Also the form in which the decision is
   * stored.
   *
   * @param decision the decision
   */
  record Block(BlockDecision decision) implements PeerMessage {}

  /**
   * Passes on limits on the request rate that replicas have stated, or the end of such limits. On
   * the wire, their times are relative to the time of sending.
   *
   * @param limits the limits that have changed; all that are in force in the first message
   */
  record RateLimits(List<StatedLimit> limits) implements PeerMessage {}

  /**
   * Passes on what is known of requests that may crash replicas. On the wire, times are relative to
   * the time of sending.
   *
   * @param reports breaks of connections under requests
   * @param completed subjects of requests that had crashes and have had a complete response since
   * @param reached incarnations of replicas that responded after a supposed crash
   */
  record CrashEvidence(List<CrashReport> reports, List<String> completed, List<String> reached)
      implements PeerMessage {}

  /** State of a placed request. Sent as its ordinal. */
  enum RunState {
    /** The replica has started to send its response. */
    BEGUN,
    /** The request has ended otherwise; its replica has not failed. */
    ENDED,
    /** The request did not reach the replica. */
    BROKEN,
    /** The response of the replica is complete. */
    COMPLETED,
    /** The connection to the replica broke after the request was sent. */
    CRASHED
  }
}
