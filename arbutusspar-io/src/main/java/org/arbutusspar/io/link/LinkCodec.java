package org.arbutusspar.io.link;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.arbutusspar.io.codec.Mappers;

/**
 * Reads and writes {@link LinkMessage}s as frames: a big-endian 4-byte length, followed by a
 * MessagePack body.
 */
final class LinkCodec {

  /** Maximum length of a frame body after the handshake, in bytes. */
  static final int MAX_FRAME_BYTES = 8 << 20;

  /**
   * Maximum length of a frame body during the handshake, in bytes. It is small because the peer has
   * not yet proved the shared secret.
   */
  static final int MAX_HANDSHAKE_BYTES = 4 * 1024;

  private LinkCodec() {}

  static byte[] encode(LinkMessage message) throws IOException {
    byte[] body = Mappers.messagePack().writerFor(LinkMessage.class).writeValueAsBytes(message);
    if (body.length > MAX_FRAME_BYTES) {
      throw new IOException("frame of " + body.length + " bytes exceeds the maximum size");
    }
    return body;
  }

  static void write(DataOutputStream out, byte[] body) throws IOException {
    out.writeInt(body.length);
    out.write(body);
  }

  static LinkMessage read(DataInputStream in, int maxBytes) throws IOException {
    int length = in.readInt();
    if (length <= 0 || length > maxBytes) {
      throw new IOException("frame length " + length + " is not in the range 1 to " + maxBytes);
    }
    byte[] body = new byte[length];
    in.readFully(body);
    try {
      LinkMessage message = Mappers.messagePack().readValue(body, LinkMessage.class);
      if (message == null) {
        throw new IOException("frame contains no message");
      }
      return message;
    } catch (RuntimeException e) {
      throw new IOException("malformed frame", e);
    }
  }
}
