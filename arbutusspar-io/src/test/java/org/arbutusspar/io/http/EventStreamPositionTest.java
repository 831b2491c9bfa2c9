package org.arbutusspar.io.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventStreamPositionTest {

  private static EventStreamPosition after(String text) {
    EventStreamPosition position = EventStreamPosition.create();
    position.advance(ByteBuffer.wrap(text.getBytes(UTF_8)));
    return position;
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "id: 1\ndata: x\n\n",
        "data: x\r\n\r\n",
        "data: x\r\r",
        "data: x\n\n: comment\n",
        "\n\n"
      })
  void endsBetweenEvents(String text) {
    assertFalse(after(text).isInsideEvent());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "d",
        "data: x",
        "data: x\n",
        "data: x\r\n",
        "data: x\n\nid: 2\n",
        "data: x\n: comment\n",
        ": comm",
        "data: x\n\nid"
      })
  void endsInsideAnEvent(String text) {
    assertTrue(after(text).isInsideEvent());
  }

  /** Each cut of a stream gives the same position as the whole, whatever ends its lines. */
  @Test
  void positionDoesNotDependOnParts() {
    for (String lineEnd : List.of("\n", "\r\n", "\r")) {
      byte[] text = "id: 1\ndata: x\n\ndata: y\n\n".replace("\n", lineEnd).getBytes(UTF_8);
      for (int cut = 0; cut <= text.length; cut++) {
        EventStreamPosition position = EventStreamPosition.create();
        position.advance(ByteBuffer.wrap(text, 0, cut));
        position.advance(ByteBuffer.wrap(text, cut, text.length - cut));
        assertFalse(position.isInsideEvent());
        assertEquals(2, position.events());
        assertEquals(text.length, position.bytes());
      }
    }
  }

  @Test
  void framingFollowsTheHeader() {
    HeaderField length = new HeaderField("content-length", "5");
    HeaderField chunks = new HeaderField("Transfer-Encoding", "Chunked");
    assertEquals(BodyFraming.LENGTH, BodyFraming.of(List.of(length)));
    assertEquals(BodyFraming.CHUNKED, BodyFraming.of(List.of(length, chunks)));
    assertEquals(BodyFraming.UNTIL_CLOSE, BodyFraming.of(List.of()));
    assertEquals("until-close", BodyFraming.UNTIL_CLOSE.toString());
  }
}
