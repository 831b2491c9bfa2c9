package org.arbutusspar.io.link;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.arbutusspar.io.codec.Mappers;

/** Frames: a length of four bytes, most significant first, and a MessagePack body. */
final class LinkCodec {

  /** Largest frame of a link that is up, in bytes. */
  static final int MAX_FRAME_BYTES = 8 << 20;

  /** Largest frame before a peer has proved itself, in bytes. */
  static final int MAX_HANDSHAKE_BYTES = 4 * 1024;

  private LinkCodec() {}

  static byte[] encode(LinkMessage message) throws IOException {
    byte[] body = Mappers.messagePack().writerFor(LinkMessage.class).writeValueAsBytes(message);
    if (body.length > MAX_FRAME_BYTES) {
      throw new IOException("frame of " + body.length + " bytes is too large");
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
      throw new IOException("frame length " + length + " is not from 1 to " + maxBytes);
    }
    byte[] body = new byte[length];
    in.readFully(body);
    try {
      LinkMessage message = Mappers.messagePack().readValue(body, LinkMessage.class);
      if (message == null) {
        throw new IOException("frame holds no message");
      }
      return message;
    } catch (RuntimeException e) {
      throw new IOException("malformed frame", e);
    }
  }
}
