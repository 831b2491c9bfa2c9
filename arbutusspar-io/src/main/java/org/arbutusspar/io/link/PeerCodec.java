package org.arbutusspar.io.link;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.id.DataCentre;
import org.arbutusspar.core.peer.Peer;
import org.arbutusspar.core.peer.PeerState;
import org.arbutusspar.core.peer.PeerStatus;
import org.arbutusspar.core.peer.StoreView;
import org.arbutusspar.core.peer.TableCopy;
import org.arbutusspar.core.peer.TableName;
import org.arbutusspar.core.peer.TableVersion;
import org.arbutusspar.core.placement.BlockDecision;
import org.arbutusspar.core.placement.CrashReport;
import org.arbutusspar.core.placement.EngineDemand;
import org.arbutusspar.core.placement.EnginePlacer;
import org.arbutusspar.core.placement.StatedLimit;
import org.arbutusspar.core.placement.WorkObservation;
import org.arbutusspar.core.stage.Piece;
import org.arbutusspar.core.stage.PieceId;
import org.arbutusspar.core.stage.PieceOutcome;
import org.arbutusspar.core.stage.QueueWait;
import org.arbutusspar.core.stage.StageResult;
import org.msgpack.core.ExtensionTypeHeader;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Encodes {@link PeerMessage}s in MessagePack: the type number of the message, then its fields in
 * order.
 *
 * <p>The clocks of instances are not synchronized. The encoder therefore writes times of pieces,
 * engine requests, limits and crashes as offsets from its own current time, and the decoder adds
 * them to its own current time.
 */
public final class PeerCodec {

  private static final int HELLO = 1;
  private static final int HEARTBEAT = 2;
  private static final int PIECES = 3;
  private static final int OUTCOMES = 4;
  private static final int CANCEL = 5;
  private static final int RELEASE = 6;
  private static final int TABLE_REQUEST = 7;
  private static final int TABLE_DATA = 8;
  private static final int PLACE_REQUEST = 9;
  private static final int PLACE_RESPONSE = 10;
  private static final int PLACEMENT_UPDATE = 11;
  private static final int STATES = 12;
  private static final int BLOCK = 13;
  private static final int RATE_LIMITS = 14;
  private static final int CRASH_EVIDENCE = 15;

  /** Written for a replica that no longer states a limit. */
  private static final double NO_LIMIT = -1;

  /** Extension type of a compressed value. */
  private static final byte COMPRESSED = 1;

  /** Minimum size of a value that is compressed, in bytes. */
  private static final int MIN_COMPRESSED_BYTES = 1_024;

  /** Maximum number of entries of an encoded list or map. */
  private static final int MAX_ITEMS = 100_000;

  private PeerCodec() {}

  /**
   * Encodes a message.
   *
   * @param message the message, not null
   * @param now current time of the sender, in nanoseconds
   * @return the frame's body
   */
  public static byte[] encode(PeerMessage message, long now) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      if (message instanceof PeerMessage.Hello hello) {
        packer.packInt(HELLO);
        packPeer(packer, hello.self());
        packer.packArrayHeader(hello.known().size());
        for (Peer peer : hello.known()) {
          packPeer(packer, peer);
        }
      } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
        packer.packInt(HEARTBEAT);
        packStatus(packer, heartbeat.status());
      } else if (message instanceof PeerMessage.States states) {
        packer.packInt(STATES).packArrayHeader(states.states().size());
        for (PeerState state : states.states()) {
          packer.packString(state.name()).packBoolean(state.live());
          packer.packBoolean(state.ready()).packBoolean(state.leaving());
        }
      } else if (message instanceof PeerMessage.Pieces pieces) {
        packer.packInt(PIECES).packString(pieces.service());
        packer.packArrayHeader(pieces.pieces().size());
        for (Piece piece : pieces.pieces()) {
          packPiece(packer, piece, now);
        }
      } else if (message instanceof PeerMessage.Outcomes outcomes) {
        packer.packInt(OUTCOMES).packArrayHeader(outcomes.outcomes().size());
        for (PieceOutcome outcome : outcomes.outcomes()) {
          packOutcome(packer, outcome);
        }
      } else if (message instanceof PeerMessage.Cancel cancel) {
        packer.packInt(CANCEL).packString(cancel.requestId());
      } else if (message instanceof PeerMessage.Release release) {
        packer.packInt(RELEASE);
        packStrings(packer, release.handles());
      } else if (message instanceof PeerMessage.PlaceRequest place) {
        packer.packInt(PLACE_REQUEST).packString(place.service());
        packEngineRequest(packer, place.request(), now);
      } else if (message instanceof PeerMessage.PlaceResponse response) {
        packer
            .packInt(PLACE_RESPONSE)
            .packString(response.requestId())
            .packString(response.replicaId());
        if (response.waiting() || response.millis() > 0) {
          packer.packBoolean(response.waiting()).packLong(response.millis());
        }
      } else if (message instanceof PeerMessage.PlacementUpdate update) {
        packer.packInt(PLACEMENT_UPDATE).packString(update.service());
        packer.packString(update.requestId()).packInt(update.state().ordinal());
        packer.packString(update.subject());
        packResponseFacts(packer, update);
      } else if (message instanceof PeerMessage.Block block) {
        packer.packInt(BLOCK).packString(block.decision().subject());
        packer.packLong(block.decision().decidedMillis());
        packer.packLong(block.decision().blockedUntilMillis());
      } else if (message instanceof PeerMessage.RateLimits limits) {
        packer.packInt(RATE_LIMITS).packArrayHeader(limits.limits().size());
        for (StatedLimit limit : limits.limits()) {
          packer.packString(limit.incarnation()).packLong(now - limit.statedAt());
          packer.packDouble(limit.perSecond().orElse(NO_LIMIT));
        }
      } else if (message instanceof PeerMessage.CrashEvidence evidence) {
        packer.packInt(CRASH_EVIDENCE).packArrayHeader(evidence.reports().size());
        for (CrashReport report : evidence.reports()) {
          packer.packString(report.subject()).packString(report.incarnation());
          packer.packLong(now - report.sentAt()).packLong(now - report.brokenAt());
        }
        packStrings(packer, evidence.completed());
        packStrings(packer, evidence.reached());
      } else if (message instanceof PeerMessage.TableRequest request) {
        packer.packInt(TABLE_REQUEST).packInt(request.table().ordinal());
        packer.packLong(request.since());
      } else if (message instanceof PeerMessage.TableData data) {
        packer.packInt(TABLE_DATA).packInt(data.table().ordinal());
        packCopy(packer, data.copy());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("message cannot be encoded", e);
    }
  }

  /**
   * Decodes a message.
   *
   * @param body the frame's body, not null
   * @param now current time of the receiver, in nanoseconds
   * @return the message
   * @throws IOException if the body is malformed
   */
  public static PeerMessage decode(byte[] body, long now) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
      int type = unpacker.unpackInt();
      return switch (type) {
        case HELLO -> new PeerMessage.Hello(peer(unpacker), list(unpacker, PeerCodec::peer));
        case HEARTBEAT -> new PeerMessage.Heartbeat(status(unpacker));
        case STATES -> new PeerMessage.States(list(unpacker, PeerCodec::state));
        case PIECES ->
            new PeerMessage.Pieces(unpacker.unpackString(), list(unpacker, u -> piece(u, now)));
        case OUTCOMES -> new PeerMessage.Outcomes(list(unpacker, PeerCodec::outcome));
        case CANCEL -> new PeerMessage.Cancel(unpacker.unpackString());
        case RELEASE -> new PeerMessage.Release(list(unpacker, MessageUnpacker::unpackString));
        case PLACE_REQUEST ->
            new PeerMessage.PlaceRequest(unpacker.unpackString(), engineRequest(unpacker, now));
        case PLACE_RESPONSE -> placeResponse(unpacker);
        case PLACEMENT_UPDATE ->
            new PeerMessage.PlacementUpdate(
                unpacker.unpackString(),
                unpacker.unpackString(),
                enumConstant(PeerMessage.RunState.values(), unpacker),
                unpacker.hasNext() ? unpacker.unpackString() : "",
                unpacker.hasNext() ? workObservation(unpacker) : Optional.empty(),
                unpacker.hasNext() ? OptionalInt.of(unpacker.unpackInt()) : OptionalInt.empty());
        case BLOCK ->
            new PeerMessage.Block(
                new BlockDecision(
                    unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackLong()));
        case RATE_LIMITS -> new PeerMessage.RateLimits(list(unpacker, u -> statedLimit(u, now)));
        case CRASH_EVIDENCE ->
            new PeerMessage.CrashEvidence(
                list(unpacker, u -> crashReport(u, now)),
                list(unpacker, MessageUnpacker::unpackString),
                list(unpacker, MessageUnpacker::unpackString));
        case TABLE_REQUEST ->
            new PeerMessage.TableRequest(
                enumConstant(TableName.values(), unpacker), unpacker.unpackLong());
        case TABLE_DATA ->
            new PeerMessage.TableData(enumConstant(TableName.values(), unpacker), copy(unpacker));
        default -> throw new IOException("unknown message type " + type);
      };
    } catch (MessagePackException | IllegalArgumentException | NullPointerException e) {
      throw new IOException("malformed message", e);
    }
  }

  private static StatedLimit statedLimit(MessageUnpacker unpacker, long now) throws IOException {
    String incarnation = unpacker.unpackString();
    long statedAt = now - unpacker.unpackLong();
    double perSecond = unpacker.unpackDouble();
    return new StatedLimit(
        incarnation,
        perSecond >= 0 ? OptionalDouble.of(perSecond) : OptionalDouble.empty(),
        statedAt);
  }

  /** Writes what the replica's response tells, as far as anything is known. */
  private static void packResponseFacts(
      MessageBufferPacker packer, PeerMessage.PlacementUpdate update) throws IOException {
    if (update.observation().isPresent()) {
      packer.packInt(update.observation().get().responseMillis());
      packer.packInt(update.observation().get().workPercent());
    } else if (update.statedRequests().isPresent()) {
      packer.packNil();
    }
    if (update.statedRequests().isPresent()) {
      packer.packInt(update.statedRequests().getAsInt());
    }
  }

  private static Optional<WorkObservation> workObservation(MessageUnpacker unpacker)
      throws IOException {
    if (unpacker.tryUnpackNil()) {
      return Optional.empty();
    }
    return Optional.of(new WorkObservation(unpacker.unpackInt(), unpacker.unpackInt()));
  }

  private static CrashReport crashReport(MessageUnpacker unpacker, long now) throws IOException {
    return new CrashReport(
        unpacker.unpackString(),
        unpacker.unpackString(),
        now - unpacker.unpackLong(),
        now - unpacker.unpackLong());
  }

  private static void packPeer(MessageBufferPacker packer, Peer peer) throws IOException {
    packer.packString(peer.name()).packLong(peer.incarnation());
    packer.packString(peer.dataCentre().value());
    packer.packString(peer.links().toString()).packString(peer.clients().toString());
    packer.packInt(peer.capacity());
  }

  private static Peer peer(MessageUnpacker unpacker) throws IOException {
    return new Peer(
        unpacker.unpackString(),
        unpacker.unpackLong(),
        DataCentre.of(unpacker.unpackString()),
        Endpoint.parse(unpacker.unpackString()),
        Endpoint.parse(unpacker.unpackString()),
        unpacker.unpackInt());
  }

  private static PeerState state(MessageUnpacker unpacker) throws IOException {
    return new PeerState(
        unpacker.unpackString(),
        unpacker.unpackBoolean(),
        unpacker.unpackBoolean(),
        unpacker.unpackBoolean());
  }

  private static void packStatus(MessageBufferPacker packer, PeerStatus status) throws IOException {
    packer.packBoolean(status.ready()).packBoolean(status.leaving());
    packer.packLong(status.heartbeatMillis());
    packStoreView(packer, status.store());
    packer.packMapHeader(status.waits().size());
    for (Map.Entry<String, QueueWait> entry : status.waits().entrySet()) {
      packer.packString(entry.getKey()).packInt(entry.getValue().inTimeMillis());
      packer.packInt(entry.getValue().lateMillis());
    }
    packStrings(packer, List.copyOf(status.roles()));
  }

  private static PeerStatus status(MessageUnpacker unpacker) throws IOException {
    return new PeerStatus(
        unpacker.unpackBoolean(),
        unpacker.unpackBoolean(),
        unpacker.unpackLong(),
        storeView(unpacker),
        waits(unpacker),
        Set.copyOf(list(unpacker, MessageUnpacker::unpackString)));
  }

  private static void packStoreView(MessageBufferPacker packer, StoreView view) throws IOException {
    packer.packBoolean(view.unreachable()).packLong(view.contactAgeMillis());
    packer.packMapHeader(view.tables().size());
    for (Map.Entry<TableName, TableVersion> entry : view.tables().entrySet()) {
      packer.packInt(entry.getKey().ordinal());
      packVersion(packer, entry.getValue());
    }
  }

  private static StoreView storeView(MessageUnpacker unpacker) throws IOException {
    boolean unreachable = unpacker.unpackBoolean();
    long contactAgeMillis = unpacker.unpackLong();
    int size = unpacker.unpackMapHeader();
    if (size > TableName.values().length) {
      throw new IOException("map of " + size + " tables exceeds the maximum size");
    }
    Map<TableName, TableVersion> tables = new HashMap<>();
    for (int i = 0; i < size; i++) {
      tables.put(enumConstant(TableName.values(), unpacker), version(unpacker));
    }
    return new StoreView(unreachable, contactAgeMillis, tables);
  }

  private static void packVersion(MessageBufferPacker packer, TableVersion version)
      throws IOException {
    packer.packLong(version.offset()).packLong(version.changeOffset());
  }

  private static TableVersion version(MessageUnpacker unpacker) throws IOException {
    return new TableVersion(unpacker.unpackLong(), unpacker.unpackLong());
  }

  private static void packCopy(MessageBufferPacker packer, TableCopy copy) throws IOException {
    packer.packBoolean(copy.complete());
    packVersion(packer, copy.version());
    packer.packArrayHeader(copy.rows().size());
    for (TableCopy.Row row : copy.rows()) {
      packer.packString(row.key());
      packValue(packer, row.value());
      packer.packLong(row.offset());
    }
    packer.packArrayHeader(copy.removed().size());
    for (TableCopy.Removal removal : copy.removed()) {
      packer.packString(removal.key()).packLong(removal.offset());
    }
  }

  /** Writes a value as binary data, or compressed as an extension if it is large. */
  private static void packValue(MessageBufferPacker packer, byte[] value) throws IOException {
    if (value.length < MIN_COMPRESSED_BYTES) {
      packer.packBinaryHeader(value.length).writePayload(value);
    } else {
      byte[] compressed = CompressedBytes.compress(value);
      packer.packExtensionTypeHeader(COMPRESSED, compressed.length).writePayload(compressed);
    }
  }

  private static byte[] value(MessageUnpacker unpacker) throws IOException {
    if (unpacker.getNextFormat().getValueType() != ValueType.EXTENSION) {
      return unpacker.readPayload(unpacker.unpackBinaryHeader());
    }
    ExtensionTypeHeader header = unpacker.unpackExtensionTypeHeader();
    if (header.getType() != COMPRESSED) {
      throw new IOException("unknown extension type " + header.getType());
    }
    byte[] compressed = unpacker.readPayload(header.getLength());
    return CompressedBytes.expand(compressed, FrameConnection.MAX_FRAME_BYTES);
  }

  private static TableCopy copy(MessageUnpacker unpacker) throws IOException {
    return new TableCopy(
        unpacker.unpackBoolean(),
        version(unpacker),
        list(unpacker, PeerCodec::row),
        list(unpacker, u -> new TableCopy.Removal(u.unpackString(), u.unpackLong())));
  }

  private static Map<String, QueueWait> waits(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackMapHeader();
    if (size > MAX_ITEMS) {
      throw new IOException("map of " + size + " entries exceeds the maximum size");
    }
    Map<String, QueueWait> waits = new HashMap<>();
    for (int i = 0; i < size; i++) {
      String service = unpacker.unpackString();
      waits.put(service, new QueueWait(unpacker.unpackInt(), unpacker.unpackInt()));
    }
    return waits;
  }

  private static void packId(MessageBufferPacker packer, PieceId id) throws IOException {
    packer.packString(id.requestId()).packInt(id.stage()).packInt(id.index());
  }

  private static PieceId id(MessageUnpacker unpacker) throws IOException {
    return new PieceId(unpacker.unpackString(), unpacker.unpackInt(), unpacker.unpackInt());
  }

  private static void packPiece(MessageBufferPacker packer, Piece piece, long now)
      throws IOException {
    packId(packer, piece.id());
    packer.packString(piece.origin()).packString(piece.key());
    packStrings(packer, piece.inputs());
    packer.packInt(piece.priority()).packLong(piece.startBy() - now);
    packer.packLong(piece.deadline() - now).packLong(piece.resultBytes());
    packer.packString(piece.preferredDataCentre().map(DataCentre::value).orElse(""));
  }

  private static Piece piece(MessageUnpacker unpacker, long now) throws IOException {
    return new Piece(
        id(unpacker),
        unpacker.unpackString(),
        unpacker.unpackString(),
        list(unpacker, MessageUnpacker::unpackString),
        unpacker.unpackInt(),
        now + unpacker.unpackLong(),
        now + unpacker.unpackLong(),
        unpacker.unpackLong(),
        optionalDataCentre(unpacker.unpackString()),
        0);
  }

  private static Optional<DataCentre> optionalDataCentre(String name) {
    return name.isEmpty() ? Optional.empty() : Optional.of(DataCentre.of(name));
  }

  private static void packOutcome(MessageBufferPacker packer, PieceOutcome outcome)
      throws IOException {
    packId(packer, outcome.id());
    packer.packString(outcome.reason()).packBoolean(outcome.result().isPresent());
    if (outcome.result().isPresent()) {
      StageResult result = outcome.result().get();
      packer.packString(result.handle()).packString(result.batcher()).packLong(result.bytes());
    }
  }

  private static PieceOutcome outcome(MessageUnpacker unpacker) throws IOException {
    PieceId id = id(unpacker);
    String reason = unpacker.unpackString();
    if (!unpacker.unpackBoolean()) {
      return PieceOutcome.failed(id, reason);
    }
    return new PieceOutcome(
        id,
        Optional.of(
            new StageResult(
                unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong())),
        reason);
  }

  private static void packStrings(MessageBufferPacker packer, List<String> strings)
      throws IOException {
    packer.packArrayHeader(strings.size());
    for (String string : strings) {
      packer.packString(string);
    }
  }

  private static <T> T enumConstant(T[] values, MessageUnpacker unpacker) throws IOException {
    int ordinal = unpacker.unpackInt();
    if (ordinal < 0 || ordinal >= values.length) {
      throw new IOException("unknown enum ordinal " + ordinal);
    }
    return values[ordinal];
  }

  private static PeerMessage.PlaceResponse placeResponse(MessageUnpacker unpacker)
      throws IOException {
    String requestId = unpacker.unpackString();
    String replicaId = unpacker.unpackString();
    return unpacker.hasNext()
        ? new PeerMessage.PlaceResponse(
            requestId, replicaId, unpacker.unpackBoolean(), unpacker.unpackLong())
        : new PeerMessage.PlaceResponse(requestId, replicaId);
  }

  private static void packEngineRequest(
      MessageBufferPacker packer, EnginePlacer.EngineRequest request, long now) throws IOException {
    packer.packString(request.id()).packString(request.origin()).packLong(request.promptKey());
    packer.packLong(request.sharedTokens()).packLong(request.ownTokens());
    packer.packString(request.preferredDataCentre().map(DataCentre::value).orElse(""));
    packer.packLong(request.inputBytes());
    packStrings(packer, List.copyOf(request.excluded()));
    packStrings(packer, request.sharedParts());
    if (!request.repeatable() || request.demand().isPresent()) {
      packer.packBoolean(request.repeatable());
    }
    if (request.demand().isPresent()) {
      packDemand(packer, request.demand().get(), now);
    }
  }

  private static void packDemand(MessageBufferPacker packer, EngineDemand demand, long now)
      throws IOException {
    packer.packString(demand.kind()).packString(demand.workspace()).packInt(demand.rank());
    packer.packLong(demand.outputTokens()).packLong(demand.targetAt() - now);
    packer.packLong(demand.deadline() - now);
    packer.packBoolean(demand.returned()).packBoolean(demand.mayHaveRun());
  }

  private static EngineDemand demand(MessageUnpacker unpacker, long now) throws IOException {
    return new EngineDemand(
        unpacker.unpackString(),
        unpacker.unpackString(),
        unpacker.unpackInt(),
        unpacker.unpackLong(),
        now + unpacker.unpackLong(),
        now + unpacker.unpackLong(),
        unpacker.unpackBoolean(),
        unpacker.unpackBoolean());
  }

  private static EnginePlacer.EngineRequest engineRequest(MessageUnpacker unpacker, long now)
      throws IOException {
    String id = unpacker.unpackString();
    String origin = unpacker.unpackString();
    long promptKey = unpacker.unpackLong();
    long sharedTokens = unpacker.unpackLong();
    long ownTokens = unpacker.unpackLong();
    Optional<DataCentre> preferred = optionalDataCentre(unpacker.unpackString());
    long inputBytes = unpacker.unpackLong();
    List<String> excluded = list(unpacker, MessageUnpacker::unpackString);
    // Instances of the version before do not send the parts.
    List<String> sharedParts =
        unpacker.hasNext() ? list(unpacker, MessageUnpacker::unpackString) : List.of();
    boolean repeatable = !unpacker.hasNext() || unpacker.unpackBoolean();
    Optional<EngineDemand> demand =
        unpacker.hasNext() ? Optional.of(demand(unpacker, now)) : Optional.empty();
    return new EnginePlacer.EngineRequest(
        id,
        origin,
        sharedParts,
        promptKey,
        sharedTokens,
        ownTokens,
        preferred,
        inputBytes,
        excluded,
        repeatable,
        demand);
  }

  private static TableCopy.Row row(MessageUnpacker unpacker) throws IOException {
    String key = unpacker.unpackString();
    byte[] value = value(unpacker);
    return new TableCopy.Row(key, value, unpacker.unpackLong());
  }

  private static <T> List<T> list(MessageUnpacker unpacker, ItemReader<T> reader)
      throws IOException {
    int size = unpacker.unpackArrayHeader();
    if (size > MAX_ITEMS) {
      throw new IOException("list of " + size + " items exceeds the maximum length");
    }
    List<T> list = new ArrayList<>(Math.min(size, 1_024));
    for (int i = 0; i < size; i++) {
      list.add(reader.read(unpacker));
    }
    return list;
  }

  /** Reads one item of a list. */
  private interface ItemReader<T> {
    T read(MessageUnpacker unpacker) throws IOException;
  }
}
