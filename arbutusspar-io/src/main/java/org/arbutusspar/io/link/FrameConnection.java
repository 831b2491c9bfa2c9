package org.arbutusspar.io.link;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import org.arbutusspar.core.balancing.Endpoint;

/** A TCP connection that carries frames. Frames can be sent from any thread. */
public final class FrameConnection {

  /** Maximum length of a frame body, in bytes. A whole configuration must fit into one frame. */
  public static final int MAX_FRAME_BYTES = 16 << 20;

  /**
   * Maximum number of bytes that wait to be sent. A connection that exceeds it is closed, because
   * its peer does not read.
   */
  private static final int MAX_SEND_QUEUE_BYTES = 32 << 20;

  /**
   * Maximum length of a body that is copied next to its length, so that a frame takes one system
   * call. Longer bodies are not copied, since they may be sent to hundreds of peers.
   */
  private static final int MAX_COPIED_BODY_BYTES = 16 * 1024;

  private static final int INITIAL_BUFFER_BYTES = 4 * 1024;
  private static final int LENGTH_BYTES = 4;

  private final FrameNetwork network;
  private final SocketChannel channel;
  private final Endpoint peer;
  private final boolean outgoing;
  private final Deque<ByteBuffer> sendQueue = new ArrayDeque<>();
  private SelectionKey key;

  /** Received bytes that are not yet a complete frame. */
  private ByteBuffer in = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

  private long queuedBytes;

  /** Whether the connection was established; stays true after it is closed. */
  private boolean connected;

  private volatile boolean closed;

  /** Monotonic time at which bytes were last received, in nanoseconds. */
  private volatile long lastReceivedNanos = System.nanoTime();

  FrameConnection(FrameNetwork network, SocketChannel channel, Endpoint peer, boolean outgoing) {
    this.network = network;
    this.channel = channel;
    this.peer = peer;
    this.outgoing = outgoing;
    this.connected = !outgoing;
  }

  void key(SelectionKey selectionKey) {
    key = selectionKey;
  }

  SocketChannel channel() {
    return channel;
  }

  /**
   * Returns the remote endpoint: the listening endpoint of the peer if this instance opened the
   * connection, otherwise the source address and port of the peer.
   */
  public Endpoint peer() {
    return peer;
  }

  /** Returns whether this instance opened the connection. */
  public boolean isOutgoing() {
    return outgoing;
  }

  /** Returns whether the connection is closed, or its attempt has failed. */
  public boolean isClosed() {
    return closed;
  }

  /** Returns the monotonic time at which bytes were last received, in nanoseconds. */
  public long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  boolean wasConnected() {
    return connected;
  }

  void onConnected() {
    connected = true;
    key.interestOps(sendQueue.isEmpty() ? SelectionKey.OP_READ : readAndWrite());
  }

  /** Marks the connection as closed, and returns whether it was not marked before. */
  boolean markClosed() {
    boolean first = !closed;
    closed = true;
    return first;
  }

  /**
   * Queues a frame for sending; frames are sent in the order of the calls.
   *
   * @param body the frame's body, not null; must not be modified afterwards
   */
  public void send(byte[] body) {
    network.execute(() -> enqueue(body));
  }

  /**
   * Closes the connection asynchronously.
   *
   * @param reason the reason, passed on to the {@link FrameHandler}
   */
  public void close(String reason) {
    network.execute(() -> network.drop(this, reason));
  }

  void enqueue(byte[] body) {
    if (closed) {
      return;
    }
    if (body.length <= MAX_COPIED_BODY_BYTES) {
      ByteBuffer frame = ByteBuffer.allocate(LENGTH_BYTES + body.length);
      sendQueue.add(frame.putInt(body.length).put(body).flip());
    } else {
      sendQueue.add(ByteBuffer.allocate(LENGTH_BYTES).putInt(body.length).flip());
      sendQueue.add(ByteBuffer.wrap(body));
    }
    queuedBytes += LENGTH_BYTES + body.length;
    if (queuedBytes > MAX_SEND_QUEUE_BYTES) {
      network.drop(this, "send queue is full: peer does not read");
      return;
    }
    try {
      if (connected) {
        flush();
      }
    } catch (IOException e) {
      network.drop(this, e.toString());
    }
  }

  void flush() throws IOException {
    while (!sendQueue.isEmpty()) {
      ByteBuffer first = sendQueue.peek();
      queuedBytes -= channel.write(first);
      if (first.hasRemaining()) {
        key.interestOps(readAndWrite());
        return;
      }
      sendQueue.remove();
    }
    key.interestOps(SelectionKey.OP_READ);
  }

  private static int readAndWrite() {
    return SelectionKey.OP_READ | SelectionKey.OP_WRITE;
  }

  void read(FrameHandler handler) throws IOException {
    int count = channel.read(in);
    if (count < 0) {
      network.drop(this, "closed by peer");
      return;
    }
    lastReceivedNanos = System.nanoTime();
    in.flip();
    while (!closed && in.remaining() >= LENGTH_BYTES) {
      int length = in.getInt(in.position());
      if (length <= 0 || length > MAX_FRAME_BYTES) {
        network.drop(
            this, "frame length " + length + " is not in the range 1 to " + MAX_FRAME_BYTES);
        return;
      }
      if (in.remaining() < LENGTH_BYTES + length) {
        break;
      }
      byte[] body = new byte[length];
      in.getInt();
      in.get(body);
      handler.onFrame(this, body);
    }
    compactOrResizeBuffer();
  }

  /** Makes room for the rest of the next frame; releases a large buffer that is empty. */
  private void compactOrResizeBuffer() {
    int needed = in.remaining() >= LENGTH_BYTES ? in.getInt(in.position()) + LENGTH_BYTES : 0;
    if (needed > in.capacity()) {
      ByteBuffer larger = ByteBuffer.allocate(needed);
      larger.put(in);
      in = larger;
    } else if (!in.hasRemaining() && in.capacity() > INITIAL_BUFFER_BYTES) {
      in = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
    } else {
      in.compact();
    }
  }
}
