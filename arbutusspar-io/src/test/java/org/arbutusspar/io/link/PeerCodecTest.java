package org.arbutusspar.io.link;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
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
import org.junit.jupiter.api.Test;

/** Guards that peers decode messages as they were encoded, and that malformed input is rejected. */
class PeerCodecTest {

  private static final Peer PEER =
      new Peer(
          "e-1",
          17,
          DataCentre.of("a"),
          new Endpoint("10.0.0.1", 7_000),
          new Endpoint("10.0.0.1", 8_000),
          150);

  private static Piece piece(long startBy, Optional<DataCentre> preferredDataCentre) {
    return new Piece(
        new PieceId("id", 1, 2),
        "e-1",
        "k",
        List.of("h"),
        2,
        startBy,
        startBy + 9,
        7,
        preferredDataCentre,
        0);
  }

  private static void assertRoundTrip(PeerMessage message) throws IOException {
    assertEquals(message, PeerCodec.decode(PeerCodec.encode(message, 100), 100));
  }

  /** The clocks of instances differ, so the age of a limit is sent. */
  @Test
  void timeOfLimitIsThatOfTheReceiversClock() throws IOException {
    StatedLimit sent = new StatedLimit("r@1", OptionalDouble.of(2), 70);
    byte[] frame = PeerCodec.encode(new PeerMessage.RateLimits(List.of(sent)), 100);
    StatedLimit received = new StatedLimit("r@1", OptionalDouble.of(2), 4_970);
    assertEquals(new PeerMessage.RateLimits(List.of(received)), PeerCodec.decode(frame, 5_000));
  }

  @Test
  void everyMessageSurvivesRoundTrip() throws IOException {
    assertRoundTrip(
        new PeerMessage.CrashEvidence(
            List.of(new CrashReport("request/1f-2e", "i-1/7", -400, 80)),
            List.of("request/3d-4c"),
            List.of("i-2/8")));
    assertRoundTrip(new PeerMessage.Block(new BlockDecision("ab12", 17, 600_017)));
    assertRoundTrip(
        new PeerMessage.RateLimits(
            List.of(
                new StatedLimit("r@1", OptionalDouble.of(1.7), 40),
                new StatedLimit("r@2", OptionalDouble.empty(), 100))));
    assertRoundTrip(
        new PeerMessage.PlaceRequest(
            "s",
            new EnginePlacer.EngineRequest(
                "id", "e-1", List.of("p"), 3, 4, 5, Optional.empty(), 6, List.of("r"))));
    assertRoundTrip(
        new PeerMessage.PlaceRequest(
            "s",
            new EnginePlacer.EngineRequest(
                "id",
                "e-1",
                List.of("p"),
                3,
                4,
                5,
                Optional.empty(),
                6,
                List.of("r"),
                Optional.of(new EngineDemand("k", "w", 2, 7, 300, 900, true, false)))));
    assertRoundTrip(new PeerMessage.PlaceResponse("id", "i-1"));
    assertRoundTrip(new PeerMessage.PlaceResponse("id", "", true, 30));
    assertRoundTrip(
        new PeerMessage.PlacementUpdate("s", "id", PeerMessage.RunState.CRASHED, "request/1f"));
    for (OptionalInt stated : List.of(OptionalInt.empty(), OptionalInt.of(7))) {
      Optional<WorkObservation> observation = Optional.of(new WorkObservation(180, 250));
      PeerMessage.RunState begun = PeerMessage.RunState.BEGUN;
      assertRoundTrip(new PeerMessage.PlacementUpdate("s", "id", begun, "", observation, stated));
      assertRoundTrip(
          new PeerMessage.PlacementUpdate("s", "id", begun, "", Optional.empty(), stated));
    }
    assertRoundTrip(new PeerMessage.Hello(PEER, List.of(PEER)));
    assertRoundTrip(
        new PeerMessage.Heartbeat(
            new PeerStatus(
                true,
                false,
                700,
                new StoreView(true, 7, Map.of(TableName.REPLICAS, new TableVersion(9, 3))),
                Map.of("s", new QueueWait(4, 5)),
                Set.of("s"))));
    assertRoundTrip(
        new PeerMessage.Pieces(
            "s", List.of(piece(5, Optional.empty()), piece(-5, Optional.of(DataCentre.of("b"))))));
    assertRoundTrip(
        new PeerMessage.Outcomes(
            List.of(
                PieceOutcome.computed(new PieceId("id", 0, 1), new StageResult("h", "e-1", 4)),
                PieceOutcome.failed(new PieceId("id", 0, 2), PieceOutcome.LATE))));
    assertRoundTrip(new PeerMessage.States(List.of(new PeerState("e-1", true, true, false))));
    assertRoundTrip(new PeerMessage.Cancel("id"));
    assertRoundTrip(new PeerMessage.Release(List.of("a", "b")));
    assertRoundTrip(new PeerMessage.TableRequest(TableName.REPLICAS, 4));
  }

  @Test
  void tableValuesKeepTheirBytes() throws IOException {
    byte[] value = {0, -1, 5};
    PeerMessage.TableData data =
        new PeerMessage.TableData(
            TableName.CONFIGURATION,
            new TableCopy(
                false,
                new TableVersion(9, 8),
                List.of(new TableCopy.Row("k", value, 7)),
                List.of(new TableCopy.Removal("gone", 6))));
    PeerMessage read = PeerCodec.decode(PeerCodec.encode(data, 0), 0);
    TableCopy copy = ((PeerMessage.TableData) read).copy();
    assertArrayEquals(value, copy.rows().get(0).value());
    assertEquals(7, copy.rows().get(0).offset());
    assertEquals(data.copy().version(), copy.version());
    assertEquals(data.copy().removed(), copy.removed());
  }

  private static PeerMessage.TableData tableData(byte[] value) {
    return new PeerMessage.TableData(
        TableName.CONFIGURATION,
        new TableCopy(
            true, new TableVersion(9, 8), List.of(new TableCopy.Row("k", value, 7)), List.of()));
  }

  /** Copies of a large configuration took seconds on the links of small machines. */
  @Test
  void largeConfigurationTakesFewBytes() throws IOException {
    StringBuilder routes = new StringBuilder("{\"version\":7,\"routes\":[");
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(1L);
    for (int i = 0; i < 1_000; i++) {
      String name = Integer.toString(random.nextInt(1 << 30), 36);
      routes.append(
          "{\"name\":\"r-%s\",\"path_prefix\":\"/%s/\",\"timeout_ms\":15000,\"service\":\"s\"},"
              .formatted(name, name));
    }
    byte[] value = routes.toString().getBytes(StandardCharsets.UTF_8);
    byte[] encoded = PeerCodec.encode(tableData(value), 0);
    assertTrue(encoded.length < value.length / 3, encoded.length + " of " + value.length);
    TableCopy copy = ((PeerMessage.TableData) PeerCodec.decode(encoded, 0)).copy();
    assertArrayEquals(value, copy.rows().get(0).value());
  }

  /** Guards against a small message that expands until the heap is exhausted. */
  @Test
  void valueThatExpandsBeyondTheMaximumIsMalformed() {
    byte[] encoded = PeerCodec.encode(tableData(new byte[FrameConnection.MAX_FRAME_BYTES + 1]), 0);
    assertTrue(encoded.length < 1 << 20);
    assertThrows(IOException.class, () -> PeerCodec.decode(encoded, 0));
  }

  /**
   * The clocks of two instances are not synchronized. Without the conversion, the receiver would
   * compare times of the sender's clock with its own.
   */
  @Test
  void pieceTimesAreConvertedToTheReceiversClock() throws IOException {
    byte[] body =
        PeerCodec.encode(
            new PeerMessage.Pieces("s", List.of(piece(1_500, Optional.empty()))), 1_000);
    PeerMessage.Pieces read = (PeerMessage.Pieces) PeerCodec.decode(body, -7_000);
    assertEquals(-6_500, read.pieces().get(0).startBy());
    assertEquals(-6_491, read.pieces().get(0).deadline());
  }

  /**
   * Only an IOException makes the receiver close the connection. Any other exception would disturb
   * the thread that serves all connections, and leave the damaged connection open.
   */
  @Test
  void damagedFramesThrowOnlyIoException() {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11L);
    byte[] whole =
        PeerCodec.encode(new PeerMessage.Pieces("s", List.of(piece(5, Optional.empty()))), 0);
    for (int i = 0; i < 20_000; i++) {
      byte[] damaged = Arrays.copyOf(whole, 1 + random.nextInt(whole.length));
      damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
      try {
        PeerCodec.decode(damaged, 0);
      } catch (IOException expected) {
        continue;
      }
    }
    assertThrows(IOException.class, () -> PeerCodec.decode(new byte[] {99}, 0));
    assertThrows(IOException.class, () -> PeerCodec.decode(new byte[0], 0));
  }
}
