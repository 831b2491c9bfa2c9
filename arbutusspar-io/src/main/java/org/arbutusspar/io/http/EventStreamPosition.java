package org.arbutusspar.io.http;

import java.nio.ByteBuffer;
import java.util.Objects;

/**
 * Position in a stream of server-sent events: tells whether the bytes so far end between two events
 * or inside one. An event ends with an empty line; lines end with CR, LF or both. Comments between
 * events belong to none. Not thread-safe.
 */
public final class EventStreamPosition {

  private enum Line {
    EMPTY,
    COMMENT,
    FIELD
  }

  private Line line = Line.EMPTY;
  private boolean fieldsPending;
  private boolean afterCarriageReturn;
  private long events;
  private long bytes;

  private EventStreamPosition() {}

  /** Returns the position at the start of a stream. */
  public static EventStreamPosition create() {
    return new EventStreamPosition();
  }

  /**
   * Moves the position past the next part of the stream.
   *
   * @param part the part, not null; its position is not changed
   */
  public void advance(ByteBuffer part) {
    Objects.requireNonNull(part, "part");
    bytes += part.remaining();
    for (int i = part.position(); i < part.limit(); i++) {
      advance(part.get(i));
    }
  }

  private void advance(byte character) {
    boolean lineFeedOfPair = character == '\n' && afterCarriageReturn;
    afterCarriageReturn = character == '\r';
    if (lineFeedOfPair) {
      return;
    }
    if (character == '\n' || character == '\r') {
      endLine();
    } else if (line == Line.EMPTY) {
      line = character == ':' ? Line.COMMENT : Line.FIELD;
    }
  }

  private void endLine() {
    if (line == Line.FIELD) {
      fieldsPending = true;
    } else if (line == Line.EMPTY && fieldsPending) {
      fieldsPending = false;
      events++;
    }
    line = Line.EMPTY;
  }

  /** Returns whether the bytes so far end inside an event or a comment. */
  public boolean isInsideEvent() {
    return fieldsPending || line != Line.EMPTY;
  }

  /** Returns the number of complete events so far. */
  public long events() {
    return events;
  }

  /** Returns the number of bytes so far. */
  public long bytes() {
    return bytes;
  }
}
