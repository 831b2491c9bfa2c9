package org.arbutusspar.entry.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.arbutusspar.core.routing.HeldBytes;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;

/**
 * Parts of a response that wait for their client. While the memory of the instance permits it, a
 * replica sends further parts before the client has read the earlier ones, so that it does not cut
 * off a response because of a slow client. Otherwise it waits for the client. Thread-safe.
 */
final class ResponseParts implements AutoCloseable {

  /** Maximum number of bytes of one response that wait while its replica sends further ones. */
  private static final long MAX_READ_AHEAD_BYTES = 1 << 20;

  /** A part, with an action that is run when it has been written. */
  private record Part(ByteBuffer bytes, Runnable whenWritten) {}

  private final Content.Sink client;
  private final HeldBytes heldBytes;
  private final HeldBytes.Hold hold;
  private final List<Part> waiting = new ArrayList<>();
  private boolean writing;
  private boolean closed;

  /** Run when all parts have been written; null until the response is complete. */
  private Runnable whenDrained;

  private ResponseParts(Content.Sink client, HeldBytes heldBytes) {
    this.client = client;
    this.heldBytes = heldBytes;
    this.hold = heldBytes.newHold();
  }

  /**
   * Returns a response without parts.
   *
   * @param client receives the parts, not null
   * @param heldBytes counts the bytes that wait, not null
   * @return the response
   */
  static ResponseParts create(Content.Sink client, HeldBytes heldBytes) {
    return new ResponseParts(client, heldBytes);
  }

  /**
   * Writes a part after the earlier ones.
   *
   * @param bytes the part, not null
   * @param acknowledge run when the replica may send the next part; not run after a failure
   */
  void write(ByteBuffer bytes, Runnable acknowledge) {
    boolean readAhead;
    synchronized (this) {
      if (closed) {
        return;
      }
      hold.add(bytes.remaining());
      readAhead = hold.count() <= MAX_READ_AHEAD_BYTES && heldBytes.permitsReadAhead();
      waiting.add(new Part(bytes, readAhead ? () -> {} : acknowledge));
    }
    writeNext();
    if (readAhead) {
      acknowledge.run();
    }
  }

  /** Counts bytes that the owner writes itself, until this object is closed. */
  void hold(int count) {
    hold.add(count);
  }

  /**
   * Ends the response.
   *
   * @param now run by this method if no part waits, also after a failure
   * @param later run by another thread once all parts have been written, if some wait; not run
   *     after a failure
   * @return whether parts wait
   */
  boolean end(Runnable now, Runnable later) {
    synchronized (this) {
      if (!closed && (writing || !waiting.isEmpty())) {
        whenDrained = later;
        return true;
      }
      close();
    }
    now.run();
    return false;
  }

  /** Starts to write the waiting parts, or runs the last action if there are none. */
  private void writeNext() {
    List<Part> parts;
    Runnable drained = () -> {};
    synchronized (this) {
      if (writing || closed) {
        return;
      }
      parts = List.copyOf(waiting);
      waiting.clear();
      writing = !parts.isEmpty();
      if (parts.isEmpty() && whenDrained != null) {
        drained = whenDrained;
        close();
      }
    }
    if (parts.isEmpty()) {
      drained.run();
    } else {
      ByteBuffer bytes = joined(parts);
      int count = bytes.remaining();
      client.write(false, bytes, Callback.from(() -> onWritten(parts, count), cause -> close()));
    }
  }

  /** Returns the bytes of some parts, so that one write takes all that have come meanwhile. */
  private static ByteBuffer joined(List<Part> parts) {
    if (parts.size() == 1) {
      return parts.get(0).bytes();
    }
    ByteBuffer bytes =
        ByteBuffer.allocate(parts.stream().mapToInt(part -> part.bytes().remaining()).sum());
    parts.forEach(part -> bytes.put(part.bytes()));
    return bytes.flip();
  }

  private void onWritten(List<Part> parts, int count) {
    synchronized (this) {
      writing = false;
      hold.add(-count);
    }
    parts.forEach(part -> part.whenWritten().run());
    writeNext();
  }

  /** Drops the parts that have not been written. */
  @Override
  public synchronized void close() {
    closed = true;
    waiting.clear();
    hold.close();
  }
}
