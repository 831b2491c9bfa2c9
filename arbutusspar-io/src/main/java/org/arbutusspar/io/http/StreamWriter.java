package org.arbutusspar.io.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes a streamed response without blocking, in the order of the calls. A client that reads too
 * slowly is disconnected. Thread-safe.
 */
public final class StreamWriter {

  /** Maximum number of bytes that wait to be written; beyond it the stream fails. */
  private static final int MAX_PENDING_BYTES = 1 << 20;

  private final Response response;
  private final Callback callback;
  private final Deque<ByteBuffer> pending = new ArrayDeque<>();
  private int pendingBytes;
  private boolean writing;
  private boolean ending;
  private boolean failed;
  private Runnable onFailure = () -> {};

  private StreamWriter(Response response, Callback callback) {
    this.response = response;
    this.callback = callback;
  }

  static StreamWriter create(Response response, Callback callback) {
    return new StreamWriter(response, callback);
  }

  /**
   * Sets the action that runs once if the stream fails because the client disconnected or read too
   * slowly, or because the stream was aborted.
   *
   * @param action the action, not null
   */
  public synchronized void onFailure(Runnable action) {
    onFailure = action;
  }

  /**
   * Queues a part of the response body for writing.
   *
   * @param text the part, not null
   * @return false if the stream has failed or ended, otherwise true
   */
  public boolean write(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    boolean overLimit;
    synchronized (this) {
      if (failed || ending) {
        return false;
      }
      pending.addLast(ByteBuffer.wrap(bytes));
      pendingBytes += bytes.length;
      overLimit = pendingBytes > MAX_PENDING_BYTES;
    }
    if (overLimit) {
      fail(new IOException("client reads too slowly"));
      return false;
    }
    writeNextPart();
    return true;
  }

  /** Ends the stream once all queued parts are written. */
  public void end() {
    synchronized (this) {
      ending = true;
    }
    writeNextPart();
  }

  /** Closes the connection, so that the client sees an incomplete response. */
  public void abort() {
    fail(new IOException("stream aborted"));
  }

  private void writeNextPart() {
    ByteBuffer part;
    boolean last;
    synchronized (this) {
      if (writing || failed) {
        return;
      }
      part = pending.pollFirst();
      last = part == null && ending;
      if (part == null && !last) {
        return;
      }
      pendingBytes -= part == null ? 0 : part.remaining();
      writing = true;
    }
    if (last) {
      response.write(true, ByteBuffer.allocate(0), callback);
    } else {
      response.write(false, part, Callback.from(this::onWritten, this::fail));
    }
  }

  private void onWritten() {
    synchronized (this) {
      writing = false;
    }
    writeNextPart();
  }

  private void fail(Throwable cause) {
    Runnable action;
    synchronized (this) {
      if (failed) {
        return;
      }
      failed = true;
      pending.clear();
      action = onFailure;
    }
    callback.failed(cause);
    action.run();
  }
}
