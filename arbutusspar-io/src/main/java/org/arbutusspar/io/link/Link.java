package org.arbutusspar.io.link;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.arbutusspar.core.balancing.Endpoint;
import org.arbutusspar.core.member.MemberRecord;

/**
 * A TCP connection to one peer. Each link has its own writer thread, so that a peer that does not
 * read from its socket does not block senders on other links.
 */
public final class Link implements AutoCloseable {

  /** Time without any received byte after which a link is closed, in milliseconds. */
  public static final int IDLE_TIMEOUT_MILLIS = 2_000;

  /**
   * Read timeout for each step of the handshake, and the timeout for connecting, in milliseconds.
   */
  static final int HANDSHAKE_TIMEOUT_MILLIS = 1_000;

  /** Maximum number of messages that wait to be written; a link that exceeds it is closed. */
  private static final int MAX_QUEUED_MESSAGES = 4_096;

  /** How often an idle writer thread checks whether the link was closed, in milliseconds. */
  private static final long WRITER_POLL_MILLIS = 200;

  private final Socket socket;
  private final DataInputStream in;
  private final DataOutputStream out;
  private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED_MESSAGES);
  private volatile boolean closed;
  private volatile MemberRecord peer;

  private Link(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    this.out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
  }

  /** Runs the handshake as the opener, on a connected socket; both sides prove the secret. */
  static Link open(Socket socket, LinkSecret secret, MemberRecord self) throws IOException {
    Link link = forHandshake(socket);
    byte[] nonce = secret.newNonce();
    link.writeAndFlush(new LinkMessage.Hello(LinkMessage.VERSION, nonce));
    LinkMessage.Challenge challenge = link.expect(LinkMessage.Challenge.class);
    requireVersion(challenge.version());
    boolean genuine =
        secret.isProof(
            challenge.proof(),
            LinkSecret.Role.ACCEPTER,
            nonce,
            challenge.nonce(),
            challenge.self().home());
    require(genuine, "peer's proof of the shared secret is invalid");
    byte[] proof = secret.proof(LinkSecret.Role.OPENER, nonce, challenge.nonce(), self.home());
    link.writeAndFlush(new LinkMessage.Join(self, proof));
    link.expect(LinkMessage.Welcome.class);
    link.peer = challenge.self();
    socket.setSoTimeout(IDLE_TIMEOUT_MILLIS);
    return link;
  }

  /** Runs the handshake as the accepter, on an accepted socket; both sides prove the secret. */
  static Link accept(Socket socket, LinkSecret secret, MemberRecord self) throws IOException {
    Link link = forHandshake(socket);
    LinkMessage.Hello hello = link.expect(LinkMessage.Hello.class);
    requireVersion(hello.version());
    require(hello.nonce() != null, "Hello message has no nonce");
    byte[] nonce = secret.newNonce();
    byte[] proof = secret.proof(LinkSecret.Role.ACCEPTER, hello.nonce(), nonce, self.home());
    link.writeAndFlush(new LinkMessage.Challenge(LinkMessage.VERSION, nonce, self, proof));
    LinkMessage.Join join = link.expect(LinkMessage.Join.class);
    boolean genuine =
        secret.isProof(
            join.proof(), LinkSecret.Role.OPENER, hello.nonce(), nonce, join.self().home());
    require(genuine, "peer's proof of the shared secret is invalid");
    link.writeAndFlush(new LinkMessage.Welcome());
    link.peer = join.self();
    socket.setSoTimeout(IDLE_TIMEOUT_MILLIS);
    return link;
  }

  private static Link forHandshake(Socket socket) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(HANDSHAKE_TIMEOUT_MILLIS);
    return new Link(socket);
  }

  private static void requireVersion(int version) throws IOException {
    require(
        version == LinkMessage.VERSION,
        "peer uses protocol version " + version + ", not " + LinkMessage.VERSION);
  }

  private static void require(boolean condition, String message) throws IOException {
    if (!condition) {
      throw new IOException(message);
    }
  }

  private <T extends LinkMessage> T expect(Class<T> type) throws IOException {
    LinkMessage message = LinkCodec.read(in, LinkCodec.MAX_HANDSHAKE_BYTES);
    if (!type.isInstance(message)) {
      throw new IOException("unexpected handshake message; expected " + type.getSimpleName());
    }
    return type.cast(message);
  }

  private void writeAndFlush(LinkMessage message) throws IOException {
    LinkCodec.write(out, LinkCodec.encode(message));
    out.flush();
  }

  /** Returns the peer's membership record as it was sent in the handshake. */
  public MemberRecord peer() {
    return peer;
  }

  /** Returns the endpoint on which the peer accepts links. */
  public Endpoint endpoint() {
    return peer.links();
  }

  /** Returns whether the link is closed. */
  public boolean isClosed() {
    return closed;
  }

  /**
   * Queues a message for sending; messages are sent in the order of the calls. Closes the link if
   * its queue is full.
   *
   * @param message the message, not null
   * @return whether the message was queued; false if the link is closed, its queue is full or the
   *     message cannot be encoded within the maximum frame size
   */
  public boolean send(LinkMessage message) {
    try {
      boolean queued = !closed && queue.offer(LinkCodec.encode(message));
      if (!queued) {
        close();
      }
      return queued;
    } catch (IOException e) {
      return false;
    }
  }

  /** Passes received messages to the handler until the link closes, and returns the reason. */
  String readAll(LinkHandler handler) {
    Thread writer = new Thread(this::writeAll, "link-writer-" + peer.instance());
    writer.setDaemon(true);
    writer.start();
    try {
      while (!closed) {
        handler.onMessage(this, LinkCodec.read(in, LinkCodec.MAX_FRAME_BYTES));
      }
      return "closed";
    } catch (IOException e) {
      return e.getClass().getSimpleName() + ": " + e.getMessage();
    } finally {
      close();
    }
  }

  private void writeAll() {
    try {
      while (!closed) {
        byte[] body = queue.poll(WRITER_POLL_MILLIS, TimeUnit.MILLISECONDS);
        if (body != null) {
          LinkCodec.write(out, body);
        }
        if (queue.isEmpty()) {
          out.flush();
        }
      }
    } catch (IOException e) {
      close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      close();
    }
  }

  @Override
  public void close() {
    closed = true;
    try {
      socket.close();
    } catch (IOException e) {
      // The link counts as closed; there is no other way to release the socket.
    }
  }
}
