package org.arbutusspar.entry.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;
import org.arbutusspar.core.routing.HeldBytes;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;

/** Replays a client that reads slowly, without a network. */
class ResponsePartsTest {

  /** A client that takes one write at a time, when it is told to. */
  private static final class SlowClient implements Content.Sink {
    private final StringBuilder received = new StringBuilder();
    private Callback pending;

    @Override
    public void write(boolean last, ByteBuffer bytes, Callback callback) {
      assertEquals(null, pending, "writes do not overlap");
      received.append(UTF_8.decode(bytes));
      pending = callback;
    }

    void read() {
      Callback callback = pending;
      pending = null;
      callback.succeeded();
    }

    void fail() {
      pending.failed(new IOException("closed"));
    }
  }

  private final SlowClient client = new SlowClient();
  private final HeldBytes heldBytes = HeldBytes.create(100);
  private final ResponseParts parts = ResponseParts.create(client, heldBytes);
  private final AtomicInteger acknowledged = new AtomicInteger();
  private final AtomicInteger ended = new AtomicInteger();

  private void write(String text) {
    parts.write(ByteBuffer.wrap(text.getBytes(UTF_8)), acknowledged::incrementAndGet);
  }

  @Test
  void replicaNeedNotWaitForTheClient() {
    write("a");
    write("b");
    write("c");
    assertEquals(3, acknowledged.get());
    assertEquals(3, heldBytes.bytes());
    assertTrue(parts.end(ended::incrementAndGet, ended::incrementAndGet));
    client.read();
    assertEquals(0, ended.get(), "two parts wait");
    client.read();
    assertEquals("abc", client.received.toString());
    assertEquals(1, ended.get());
    assertEquals(0, heldBytes.bytes());
  }

  /** Guards against memory that fills up with what slow clients have not read. */
  @Test
  void replicaWaitsForTheClientWhileTooMuchIsHeld() {
    HeldBytes.Hold others = heldBytes.newHold();
    others.add(60);
    write("a");
    assertEquals(0, acknowledged.get());
    client.read();
    assertEquals(1, acknowledged.get());
    others.close();
    write("b");
    assertEquals(2, acknowledged.get());
  }

  @Test
  void responseWithoutWaitingPartsEndsAtOnce() {
    write("a");
    client.read();
    assertFalse(parts.end(ended::incrementAndGet, () -> {}));
    assertEquals(1, ended.get());
  }

  @Test
  void bytesAreReleasedWhenTheClientIsGone() {
    write("a");
    write("b");
    client.fail();
    assertEquals(0, heldBytes.bytes());
    write("c");
    assertEquals(0, heldBytes.bytes());
    assertEquals(2, acknowledged.get(), "nothing more is taken from the replica");
  }

  /** A request must not stay active because its client's connection failed amid the response. */
  @Test
  void responseEndsAtOnceAfterItsClientHasFailed() {
    write("a");
    client.fail();
    assertFalse(parts.end(ended::incrementAndGet, () -> {}));
    assertEquals(1, ended.get());
  }
}
